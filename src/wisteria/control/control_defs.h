#ifndef WISTERIA_CONTROL_CONTROL_DEFS_H
#define WISTERIA_CONTROL_CONTROL_DEFS_H

/* Duration of a lease, counted from when the renewal was sent. */
#define LEASE_MS 2500
/* Interval between the renewals of a daemon, and timeout of one renewal. */
#define LEASE_RENEW_MS 500
#define LEASE_REPLY_TIMEOUT_MS 400
/* Interval between an agent's heartbeats to each control instance. */
#define ANNOUNCE_INTERVAL_MS 1000
/*
 * An agent that sends neither an announcement nor a heartbeat for this long is
 * removed from the directory.
 */
#define DIRECTORY_AGENT_TIMEOUT_MS 4000
/* How long the leader counts a granted share of a contract as in use. */
#define CONTROL_SHARE_LEASE_MS (LEASE_MS * 11 / 10)
/*
 * Time that agents have to announce to a new control instance before its
 * directory counts as complete.
 */
#define DIRECTORY_WARM_UP_MS LEASE_MS

#endif
