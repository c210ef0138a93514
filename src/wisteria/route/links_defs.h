#ifndef WISTERIA_ROUTE_LINKS_DEFS_H
#define WISTERIA_ROUTE_LINKS_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Instance of a link end that has none: the entry. */
#define LINK_NO_INSTANCE UINT32_MAX

/* One end of a link: ids from links_domain_id() and links_instance_id(). */
typedef struct {
	uint32_t domain;
	uint32_t instance;
} link_end_t;

/*
 * One-way link times, in milliseconds.  A time is stored for every pair of
 * failure domains; a pair of instances has a time of its own, an exception,
 * only if it differs much from the time of its failure domains.
 */
typedef struct {
	GHashTable *domain_ids;	  /* name -> id + 1 */
	GHashTable *instance_ids; /* name -> id + 1 */
	GArray *regions;	  /* of GQuark: the region of each domain */
	GArray *instances;	  /* of link_instance_t, by id */
	GHashTable *exceptions;	  /* from << 32 | to -> double *, in ms */
	double *times;		  /* [from * domain_capacity + to] */
	uint32_t domain_count;
	uint32_t domain_capacity;
} links_t;

typedef struct {
	uint32_t domain;
	uint32_t exception_count; /* of links from this instance */
} link_instance_t;

#endif
