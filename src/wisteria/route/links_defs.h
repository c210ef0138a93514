#ifndef WISTERIA_ROUTE_LINKS_DEFS_H
#define WISTERIA_ROUTE_LINKS_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* The instance of an end that has no instance of its own: the entry. */
#define LINK_NO_INSTANCE UINT32_MAX

/* One end of a link, as numbers given out by links_t. */
typedef struct {
	uint32_t domain;
	uint32_t instance;
} link_end_t;

/*
 * Link times, in milliseconds one way.  Times between failure domains are
 * kept for every pair; a pair of instances is kept by itself only where it
 * differs much from its failure domains.
 */
typedef struct {
	GHashTable *domain_ids;	  /* name -> number + 1 */
	GHashTable *instance_ids; /* name -> number + 1 */
	GArray *regions;	  /* of each domain, as a quark */
	GArray *instances;	  /* of link_instance_t */
	GHashTable *exceptions;	  /* from << 32 | to -> double * */
	double *times;		  /* domain_capacity squared */
	uint32_t domain_count;
	uint32_t domain_capacity;
} links_t;

typedef struct {
	uint32_t domain;
	uint32_t exception_count;
} link_instance_t;

#endif
