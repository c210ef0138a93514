#ifndef TEST_FUZZ_SESSION_ORACLE_H
#define TEST_FUZZ_SESSION_ORACLE_H

#include <stdbool.h>

#include "wisteria/session/entry_session.h"
#include "wisteria/session/hop_session.h"

#define ORACLE_LAYERS 6
#define ORACLE_TEXT_BYTES 64
#define ORACLE_TOKENS_MAX 64

/* The state of one sequence in one engine. */
typedef struct {
	uint64_t states[ORACLE_LAYERS];
	uint32_t next; /* position to run */
} oracle_engine_t;

/* The expected state of one request, and what happened so far. */
typedef struct {
	char violation[256]; /* the first broken rule; "": none */
	const char *prompt;
	uint32_t token_count; /* of the whole answer */
	uint64_t states[ORACLE_LAYERS];
	uint64_t input; /* next input of layer 0 */
	uint32_t delivered;
	uint32_t last_attempt;
	bool ran; /* an engine ran a position */
	uint32_t finished;
	uint32_t refused;
	bool not_run;	/* reported by the refusal */
	bool cancelled; /* by the caller: nothing more may be delivered */
} session_oracle_t;

void oracle_init(session_oracle_t *oracle, const char *prompt,
		 uint32_t token_count);
void oracle_report_violation(session_oracle_t *oracle, const char *format, ...)
	ATTR_PRINTF(2, 3);
uint64_t oracle_run(session_oracle_t *oracle, oracle_engine_t *engine,
		    const hop_work_t *work, size_t index);
void oracle_token_text(uint64_t output, uint32_t attempt,
		       char text[ORACLE_TEXT_BYTES]);
void oracle_deliver(session_oracle_t *oracle, const msg_token_t *tokens,
		    size_t count);
void oracle_finish(session_oracle_t *oracle);
void oracle_refuse(session_oracle_t *oracle, const entry_refusal_t *refusal);
bool oracle_is_final(const session_oracle_t *oracle);
void oracle_check_end(session_oracle_t *oracle, bool disturbed);

#endif
