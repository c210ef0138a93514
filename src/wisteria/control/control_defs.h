#ifndef WISTERIA_CONTROL_CONTROL_DEFS_H
#define WISTERIA_CONTROL_CONTROL_DEFS_H

/* Duration of a lease, counted from when the renewal was sent. */
#define LEASE_MS 2500
/* Interval between the renewals of a daemon, and timeout of one renewal. */
#define LEASE_RENEW_MS 500
#define LEASE_REPLY_TIMEOUT_MS 400
/* Interval between an agent's announcements to each control instance. */
#define ANNOUNCE_INTERVAL_MS 1000
/* An agent without announcements for this long leaves the directory. */
#define DIRECTORY_AGENT_TIMEOUT_MS 4000
/* How long the leader counts a granted share of a contract as in use. */
#define CONTROL_SHARE_LEASE_MS (LEASE_MS * 11 / 10)
/* Time in which all agents have announced to a new control instance. */
#define DIRECTORY_WARM_UP_MS LEASE_MS

#endif
