#ifndef TEST_FUNCTIONAL_FAKES_SERVE_H
#define TEST_FUNCTIONAL_FAKES_SERVE_H

#include <pthread.h>
#include <signal.h>

/* Keeps the signals that end a fake for fake_wait(); before any thread. */
static inline void fake_block_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGTERM);
	sigaddset(signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, signals, NULL);
}

/* Waits until the fake is told to end. */
static inline void fake_wait(const sigset_t *signals)
{
	int number;

	sigwait(signals, &number);
}

#endif
