#ifndef TEST_FUNCTIONAL_FAKES_STOP_SIGNALS_H
#define TEST_FUNCTIONAL_FAKES_STOP_SIGNALS_H

#include <pthread.h>
#include <signal.h>

/*
 * Blocks SIGTERM and SIGINT, for which fake_wait_for_signal() waits.  Must be
 * called before any thread is started, as threads inherit the signal mask.
 */
static inline void fake_block_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
}

/* Waits until a signal requests the fake to stop. */
static inline void fake_wait_for_signal(const sigset_t *signals)
{
	int number;

	sigwait(signals, &number);
}

#endif
