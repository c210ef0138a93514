#ifndef WISTERIA_BASE_ERR_DEFS_H
#define WISTERIA_BASE_ERR_DEFS_H

#define ERR_STEP_BYTES 32
#define ERR_PEER_BYTES 64
#define ERR_TEXT_BYTES 256

typedef enum {
	ERR_NONE,
	ERR_INVALID,
	ERR_IO,
	ERR_CORRUPT,
	ERR_NO_MEMORY,
	ERR_TIMEOUT,
	ERR_PROTOCOL,
	ERR_AUTH,
	ERR_CLOSED,
	ERR_NOT_FOUND,
	ERR_NOT_ALLOWED,
	ERR_CONFLICT,
	ERR_UNAVAILABLE,
	ERR_OVERLOAD,
	ERR_TOO_LARGE
} err_code_t;

/*
 * An error: what went wrong, at which step, and with which peer.  It is set
 * by the callee through a pointer and checked by the caller at once.
 */
typedef struct {
	err_code_t code;
	char step[ERR_STEP_BYTES];
	char peer[ERR_PEER_BYTES];
	char text[ERR_TEXT_BYTES];
} err_t;

#define ERR_INIT \
	{ \
		.code = ERR_NONE \
	}

#endif
