/*
 * Automatic membership changes of an open group (see
 * settings_control_t.open_group), one member at a time.  Does no I/O and reads
 * no clock.
 *
 * A group that is to bear f losses at once needs 2f + 1 voters.  A voter beyond
 * these is spare: while it runs it does no harm, but once it is gone the group
 * bears no more than without it, and less if a second one follows.  So a spare
 * voter is removed as soon as its loss is known, and when its process is told to
 * stop, before that ends.  The group never gets smaller than 2f + 1 in this way:
 * a split of some seconds must not leave it with so few copies that the next f
 * lost disks take all of them.
 *
 * A voter that is not spare is removed later.  With an even number of voters the
 * group tolerates no more losses than with one voter less, so a learner that has
 * caught up is promoted at once, and a silent voter is removed soon.  With an odd
 * number, neither changes what the group tolerates; there a learner takes the
 * place of a silent voter instead of being promoted beside it.  A voter that is
 * silent for long is removed without a replacement.  A removed member that comes
 * back joins again as a learner.
 */
#include "wisteria/control/group_policy.h"

#include <stddef.h>
#include <string.h>

#include <glib.h>

const char *const group_reason_names[] = {
	[GROUP_READY] = "ready",     [GROUP_REPLACED] = "replaced",
	[GROUP_LEAVING] = "leaving", [GROUP_REFUSED] = "refused",
	[GROUP_ABSENT] = "absent",   [GROUP_SILENT] = "silent",
};

/*
 * Returns the index of the member that the learner's instance was before it
 * lost its disk and got a new id, or -1.
 */
static int32_t find_previous_member(const raft_members_t *members,
				    uint32_t learner)
{
	for (uint32_t i = 0; i < members->count; i++)
		if (i != learner &&
		    members->items[i].id != members->items[learner].id &&
		    strcmp(members->items[i].instance,
			   members->items[learner].instance) == 0)
			return (int32_t)i;
	return -1;
}

/* What the leader sees of the group. */
typedef struct {
	uint32_t voters;
	uint32_t reachable; /* voters silent for less than GROUP_REACHABLE_MS */
	uint32_t newcomers; /* learners without a previous id that are ready */
	bool is_known;	    /* watched for long enough to see a silence */
} group_survey_t;

static bool is_ready(const group_member_status_t *learner)
{
	return learner->caught_up && !learner->leaving && !learner->refused &&
	       learner->silent_ms < GROUP_REACHABLE_MS;
}

static group_survey_t survey_group(const raft_members_t *members,
				   const group_member_status_t *statuses,
				   clock_ms_t watched_ms)
{
	group_survey_t survey = { .is_known =
					  watched_ms >= GROUP_REACHABLE_MS };

	for (uint32_t i = 0; i < members->count; i++) {
		if (members->items[i].voter) {
			survey.voters++;
			if (statuses[i].silent_ms < GROUP_REACHABLE_MS)
				survey.reachable++;
		} else if (is_ready(&statuses[i]) &&
			   find_previous_member(members, i) < 0) {
			survey.newcomers++;
		}
	}
	return survey;
}

static bool is_even(uint32_t voters)
{
	return voters % 2 == 0;
}

static bool may_promote(const group_survey_t *survey)
{
	return is_even(survey->voters) ||
	       (survey->is_known && survey->reachable == survey->voters);
}

/* Returns how long a voter may be silent before it is removed. */
static clock_ms_t voter_timeout_ms(const group_survey_t *survey)
{
	return is_even(survey->voters) || survey->newcomers > 0
		       ? GROUP_REPLACE_TIMEOUT_MS
		       : GROUP_MEMBER_TIMEOUT_MS;
}

static bool next_learner_change(const raft_members_t *members,
				const group_member_status_t *statuses,
				const group_survey_t *survey, uint32_t learner,
				group_change_t *next)
{
	int32_t previous = find_previous_member(members, learner);

	next->member = learner;
	if (statuses[learner].silent_ms >= GROUP_MEMBER_TIMEOUT_MS) {
		next->change = RAFT_MEMBER_REMOVE;
		next->reason = GROUP_SILENT;
		return true;
	}
	if (!is_ready(&statuses[learner]))
		return false;
	if (previous < 0) {
		next->change = RAFT_MEMBER_PROMOTE;
		next->reason = GROUP_READY;
		return may_promote(survey);
	}
	next->change = RAFT_MEMBER_REMOVE;
	next->member = (uint32_t)previous;
	next->reason = GROUP_REPLACED;
	return statuses[previous].silent_ms >= GROUP_REPLACE_TIMEOUT_MS;
}

/* Returns the text of a voter's status at "offset", or NULL. */
static const char *place_of(const group_member_status_t *status, size_t offset)
{
	return *(const char *const *)((const char *)status + offset);
}

/*
 * Returns how many voters are in the "places" failure domains or regions with
 * the most of them.  A voter whose place is not known may be in any of them.
 */
static uint32_t count_in_largest(const raft_members_t *members,
				 const group_member_status_t *statuses,
				 uint32_t without, size_t offset,
				 uint32_t places)
{
	uint32_t sizes[RAFT_MEMBERS_MAX] = { 0 };
	uint32_t count = 0;

	if (places == 0)
		return 0;
	for (uint32_t i = 0; i < members->count; i++) {
		const char *place = place_of(&statuses[i], offset);
		uint32_t first = 0;

		if (!members->items[i].voter || i == without)
			continue;
		if (place == NULL) {
			count++;
			continue;
		}
		while (first < i &&
		       (!members->items[first].voter || first == without ||
			g_strcmp0(place, place_of(&statuses[first], offset)) !=
				0))
			first++;
		sizes[first]++;
	}
	for (; places > 0; places--) {
		uint32_t largest = 0;

		for (uint32_t i = 1; i < members->count; i++)
			if (sizes[i] > sizes[largest])
				largest = i;
		if (sizes[largest] == 0)
			break;
		count += sizes[largest];
		sizes[largest] = 0;
	}
	return count;
}

/*
 * Returns how many voters the group has to bear the loss of at once, if it has
 * all voters but the member with index "without".
 */
uint32_t group_losses_borne(const raft_members_t *members,
			    const group_member_status_t *statuses,
			    const settings_tolerance_t *tolerance,
			    uint32_t without)
{
	uint32_t in_domains = count_in_largest(
		members, statuses, without,
		offsetof(group_member_status_t, failure_domain),
		tolerance->failure_domains);
	uint32_t in_regions = count_in_largest(
		members, statuses, without,
		offsetof(group_member_status_t, region), tolerance->regions);

	return MAX(tolerance->machines, MAX(in_domains, in_regions));
}

/*
 * Returns whether the other voters are enough to bear the losses that the group
 * has to bear.
 */
bool group_can_spare(const raft_members_t *members,
		     const group_member_status_t *statuses,
		     const settings_tolerance_t *tolerance, uint32_t voter)
{
	uint64_t losses =
		group_losses_borne(members, statuses, tolerance, voter);
	uint32_t others = 0;

	for (uint32_t i = 0; i < members->count; i++)
		others += members->items[i].voter && i != voter;
	return others >= GROUP_VOTERS_MIN && others >= 2 * losses + 1;
}

/*
 * Returns whether the voter is gone, or about to go, as far as is known; if so,
 * "reason" says how.
 */
static bool is_going(const group_member_status_t *voter, group_reason_t *reason)
{
	bool is_refused =
		voter->refused && voter->silent_ms >= GROUP_REFUSED_SILENCE_MS;

	*reason = is_refused	   ? GROUP_REFUSED
		  : voter->leaving ? GROUP_LEAVING
				   : GROUP_ABSENT;
	return is_refused || voter->leaving ||
	       voter->silent_ms >= GROUP_ABSENT_SILENCE_MS;
}

static bool is_removable(const raft_members_t *members,
			 const group_member_status_t *statuses,
			 const settings_tolerance_t *tolerance,
			 clock_ms_t timeout_ms, uint32_t voter,
			 group_reason_t *reason)
{
	if (is_going(&statuses[voter], reason) &&
	    group_can_spare(members, statuses, tolerance, voter))
		return true;
	*reason = GROUP_SILENT;
	return statuses[voter].silent_ms >= timeout_ms;
}

/* Of several voters, the one that is silent longest: the others may be back. */
static bool next_voter_removal(const raft_members_t *members,
			       const group_member_status_t *statuses,
			       const settings_tolerance_t *tolerance,
			       const group_survey_t *survey,
			       group_change_t *next)
{
	clock_ms_t timeout_ms = voter_timeout_ms(survey);
	int32_t lost = -1;

	for (uint32_t i = 0; i < members->count; i++) {
		group_reason_t reason;

		if (!members->items[i].voter ||
		    !is_removable(members, statuses, tolerance, timeout_ms, i,
				  &reason) ||
		    (lost >= 0 &&
		     statuses[i].silent_ms <= statuses[lost].silent_ms))
			continue;
		lost = (int32_t)i;
		next->reason = reason;
	}
	if (lost < 0 ||
	    survey->reachable + survey->newcomers < GROUP_VOTERS_MIN)
		return false;
	next->change = RAFT_MEMBER_REMOVE;
	next->member = (uint32_t)lost;
	return true;
}

/*
 * Records a tick of the replica; to be called at least every 100 ms.  The watch
 * begins anew after a pause, and at the first tick of a leader: the log counts
 * all members as heard when it was elected, which is after the tick before.
 */
void group_watch_tick(group_watch_t *watch, const raft_t *raft, clock_ms_t now)
{
	bool leads = raft->role == RAFT_LEADER;

	if (!leads || !watch->was_leader ||
	    now - watch->last_tick_ms > GROUP_LATE_TICK_MS)
		watch->since_ms = now;
	watch->was_leader = leads;
	watch->last_tick_ms = now;
}

/*
 * Fills "statuses", one for each member, as of the last tick, and returns for
 * how long they were watched.  A member counts as silent only for that time.
 */
clock_ms_t
group_watch_statuses(const group_watch_t *watch, const raft_t *raft,
		     group_member_status_t statuses[RAFT_MEMBERS_MAX])
{
	for (uint32_t i = 0; i < raft->members.count; i++) {
		const raft_progress_t *progress = &raft->progress[i];
		clock_ms_t from_ms =
			MAX(progress->last_heard_ms, watch->since_ms);
		bool is_leader = progress->id == raft->id;

		statuses[i] = (group_member_status_t){
			.silent_ms =
				is_leader ? 0 : watch->last_tick_ms - from_ms,
			.caught_up =
				is_leader || progress->match >= raft->commit,
		};
	}
	return watch->last_tick_ms - watch->since_ms;
}

/*
 * Finds the next membership change; returns false if there is none.
 * "watched_ms" is for how long the leader has watched the members.
 */
bool group_policy_next(const raft_members_t *members,
		       const group_member_status_t *statuses,
		       const settings_tolerance_t *tolerance,
		       clock_ms_t watched_ms, group_change_t *next)
{
	const group_survey_t survey =
		survey_group(members, statuses, watched_ms);

	for (uint32_t i = 0; i < members->count; i++)
		if (!members->items[i].voter &&
		    next_learner_change(members, statuses, &survey, i, next))
			return true;
	return next_voter_removal(members, statuses, tolerance, &survey, next);
}
