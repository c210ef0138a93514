#ifndef WISTERIA_CONTROL_CONTROL_DEFS_H
#define WISTERIA_CONTROL_CONTROL_DEFS_H

/* How long a renewed lease lasts, counted from when it was asked for. */
#define LEASE_MS 2500
/* How often a daemon renews, and how long it waits for one answer. */
#define LEASE_RENEW_MS 500
#define LEASE_ANSWER_MS 400
/* How often an agent tells every control instance that it lives. */
#define ANNOUNCE_MS 1000
/* An agent not heard for this long loses its place in the directory. */
#define DIRECTORY_SILENCE_MS 4000
/* How long the leader counts a contract part as given out. */
#define CONTROL_PART_LEASE_MS (LEASE_MS * 11 / 10)
/* Within this time all agents have announced to a new control instance. */
#define DIRECTORY_WARM_UP_MS LEASE_MS

#endif
