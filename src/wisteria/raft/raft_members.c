/*
 * The membership of the group: voters, learners, and changes of one member at
 * a time (Ongaro, "Consensus: bridging theory and practice", 2014, chapter 4).
 */
#include "wisteria/raft/raft_members.h"

#include <stdio.h>
#include <string.h>

#include "wisteria/base/err.h"
#include "wisteria/codec/codec.h"

typedef struct {
	uint64_t id;
	bool voter;
	const char *instance;
	const char *address;
} member_record_t;

typedef struct {
	const member_record_t *items;
	size_t count;
} members_record_t;

static const field_desc_t member_fields[] = {
	FIELD(FIELD_U64, member_record_t, id),
	FIELD(FIELD_BOOL, member_record_t, voter),
	FIELD(FIELD_STR, member_record_t, instance),
	FIELD(FIELD_STR, member_record_t, address),
};
static const record_desc_t member_desc =
	RECORD_DESC(member_record_t, member_fields);

static const field_desc_t members_fields[] = {
	FIELD_LIST_OF(members_record_t, items, count, &member_desc),
};
static const record_desc_t members_desc =
	RECORD_DESC(members_record_t, members_fields);

/* Returns the member with "id", or NULL. */
const raft_member_t *raft_members_find(const raft_members_t *members,
				       uint64_t id)
{
	for (uint32_t i = 0; i < members->count; i++)
		if (members->items[i].id == id)
			return &members->items[i];
	return NULL;
}

/* Returns whether "id" is a member that votes. */
bool raft_members_is_voter(const raft_members_t *members, uint64_t id)
{
	const raft_member_t *member = raft_members_find(members, id);

	return member != NULL && member->voter;
}

/* Returns the first member of the instance, or NULL. */
const raft_member_t *raft_members_find_instance(const raft_members_t *members,
						const char *instance)
{
	for (uint32_t i = 0; i < members->count; i++)
		if (strcmp(members->items[i].instance, instance) == 0)
			return &members->items[i];
	return NULL;
}

/* Returns the number of voters. */
uint32_t raft_members_count_voters(const raft_members_t *members)
{
	uint32_t voters = 0;

	for (uint32_t i = 0; i < members->count; i++)
		if (members->items[i].voter)
			voters++;
	return voters;
}

/* Returns how many voters make a quorum. */
uint32_t raft_members_quorum(const raft_members_t *members)
{
	return raft_members_count_voters(members) / 2 + 1;
}

/*
 * Sets "err" and returns false.  The operation in "err" is "change_member" also
 * when read_members() fails.
 */
static bool refuse(err_t *err, err_code_t code, const char *instance,
		   const char *reason)
{
	err_set(err, code, "change_member", instance, "%s", reason);
	return false;
}

static bool add_member(raft_members_t *members, const raft_member_t *member,
		       err_t *err)
{
	if (raft_members_find(members, member->id) != NULL)
		return refuse(err, ERR_CONFLICT, member->instance,
			      "already a member");
	if (members->count == RAFT_MEMBERS_MAX)
		return refuse(err, ERR_OVERLOAD, member->instance,
			      "too many members");
	members->items[members->count] = *member;
	members->items[members->count++].voter = false;
	return true;
}

static bool promote_member(raft_members_t *members, raft_member_t *found,
			   err_t *err)
{
	(void)members;
	if (found->voter)
		return refuse(err, ERR_CONFLICT, found->instance,
			      "already a voter");
	found->voter = true;
	return true;
}

static bool remove_member(raft_members_t *members, raft_member_t *found,
			  err_t *err)
{
	if (found->voter && raft_members_count_voters(members) == 1)
		return refuse(err, ERR_CONFLICT, found->instance,
			      "the last voter cannot be removed");
	*found = members->items[--members->count];
	return true;
}

/*
 * Applies one change; on error "members" is unchanged.  Members are found by
 * id; the instance and address in "member" are used only to add it and in error
 * messages.  "voter" in it is ignored: a new member is a learner.
 */
bool raft_members_change(raft_members_t *members, raft_member_change_t change,
			 const raft_member_t *member, err_t *err)
{
	raft_member_t *found =
		(raft_member_t *)raft_members_find(members, member->id);

	if (change == RAFT_MEMBER_ADD)
		return add_member(members, member, err);
	if (found == NULL)
		return refuse(err, ERR_NOT_FOUND, member->instance,
			      "not a member");
	if (change == RAFT_MEMBER_PROMOTE)
		return promote_member(members, found, err);
	return remove_member(members, found, err);
}

/*
 * Encodes "members" for entries, snapshots, and the search and join messages of
 * replicas.  The caller owns the result.
 */
GBytes *raft_members_encode(const raft_members_t *members)
{
	member_record_t items[RAFT_MEMBERS_MAX];
	const members_record_t record = { items, members->count };
	msgpack_sbuffer out;
	GBytes *bytes;

	for (uint32_t i = 0; i < members->count; i++) {
		const raft_member_t *member = &members->items[i];

		items[i] = (member_record_t){
			.id = member->id,
			.voter = member->voter,
			.instance = member->instance,
			.address = member->address,
		};
	}
	msgpack_sbuffer_init(&out);
	codec_encode(&members_desc, &record, &out);
	bytes = g_bytes_new(out.data, out.size);
	msgpack_sbuffer_destroy(&out);
	return bytes;
}

static bool read_members(raft_members_t *members,
			 const members_record_t *record, err_t *err)
{
	if (record->count > RAFT_MEMBERS_MAX)
		return refuse(err, ERR_PROTOCOL, "", "too many members");
	*members = (raft_members_t){ .count = (uint32_t)record->count };
	for (size_t i = 0; i < record->count; i++) {
		const member_record_t *item = &record->items[i];
		raft_member_t *member = &members->items[i];

		member->id = item->id;
		member->voter = item->voter;
		g_strlcpy(member->instance, item->instance, RAFT_NAME_BYTES);
		g_strlcpy(member->address, item->address, RAFT_NAME_BYTES);
	}
	return true;
}

/* Decodes the result of raft_members_encode(). */
bool raft_members_decode(raft_members_t *members, const uint8_t *data,
			 size_t len, err_t *err)
{
	members_record_t record;
	msgpack_zone zone;
	bool ok;

	msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE);
	ok = codec_decode(&members_desc, data, len, &zone, &record, err) &&
	     read_members(members, &record, err);
	msgpack_zone_destroy(&zone);
	return ok;
}
