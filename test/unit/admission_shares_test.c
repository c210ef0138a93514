/* Unit tests of the division of a service's capacity among ranks. */
#include "unit.h"

#include <math.h>

#include <glib.h>

#include "wisteria/fleet/admission_shares.h"

#define SEED 20261204
#define ROUNDS 2000
#define ROUNDING 1e-9

static const double none_waiting[REQUEST_RANKS];

static double sum(const double values[REQUEST_RANKS])
{
	double total = 0;

	for (int rank = 0; rank < REQUEST_RANKS; rank++)
		total += values[rank];
	return total;
}

/* Draws up to 20 tokens per ms for each rank; some ranks have no demand. */
static void draw_demand(GRand *random, double demand[REQUEST_RANKS])
{
	for (int rank = 0; rank < REQUEST_RANKS; rank++) {
		double drawn = g_rand_double_range(random, -10, 20);

		demand[rank] = MAX(drawn, 0);
	}
}

static void draw_waiting(GRand *random, double waiting[REQUEST_RANKS])
{
	for (int rank = 0; rank < REQUEST_RANKS; rank++)
		waiting[rank] = g_rand_double_range(random, 0, 50000);
}

/* Guards against refusals and promotion although the capacity suffices. */
static void test_sufficient_capacity_admits_all(void)
{
	GRand *random = g_rand_new_with_seed(SEED);

	for (int i = 0; i < ROUNDS; i++) {
		double demand[REQUEST_RANKS];
		double waiting[REQUEST_RANKS];
		admission_shares_t shares;

		draw_demand(random, demand);
		draw_waiting(random, waiting);
		admission_shares_compute(
			demand, waiting,
			sum(demand) * g_rand_double_range(random, 1, 2),
			&shares);
		for (int rank = 0; rank < REQUEST_RANKS; rank++) {
			CU_ASSERT_EQUAL(shares.admitted[rank], 1);
			CU_ASSERT_EQUAL(shares.promoted[rank], 0);
		}
		CU_ASSERT_EQUAL(shares.level, REQUEST_RANKS - 1);
	}
	g_rand_free(random);
}

/*
 * Guards against a rank that starves, against capacity that is given away twice
 * or not at all, and against a less urgent rank that gets more than the minimum
 * while a more urgent one is not admitted in full.  What is served is up to
 * 1 / 0.85 of the planned capacity, and the minimum is 0.3 of that.
 */
static void test_minimum_and_order(void)
{
	GRand *random = g_rand_new_with_seed(SEED);

	for (int i = 0; i < ROUNDS; i++) {
		double demand[REQUEST_RANKS];
		double capacity;
		double least;
		double given = 0;
		bool is_short = false;
		admission_shares_t shares;

		draw_demand(random, demand);
		if (sum(demand) <= 0)
			continue;
		capacity = sum(demand) * g_rand_double_range(random, 0.05, 1);
		least = ADMISSION_SHARES_FLOOR *
			MIN(capacity / 0.85 / sum(demand), 1);
		admission_shares_compute(demand, none_waiting, capacity,
					 &shares);
		for (int rank = 0; rank < REQUEST_RANKS; rank++) {
			double admitted = shares.admitted[rank];

			given += admitted * demand[rank];
			CU_ASSERT(admitted >= least - ROUNDING);
			CU_ASSERT(admitted <= 1);
			CU_ASSERT(!is_short ||
				  admitted <= 1.1 * least + ROUNDING);
			CU_ASSERT_EQUAL(rank <= shares.level, admitted >= 1);
			is_short = is_short || admitted < 1;
		}
		CU_ASSERT_DOUBLE_EQUAL(given, capacity, ROUNDING * capacity);
	}
	g_rand_free(random);
}

/*
 * Guards against a minimum that exists only in the figures: a rank that gets no
 * more than it must be promoted, and no other rank, since that would put it
 * before more urgent requests for no reason.
 */
static void test_only_the_minimum_is_promoted(void)
{
	static const double demand[REQUEST_RANKS] = { 30, 30, 30 };
	/* All together are served for 45 / 0.85 / 90; 1.1 is the margin. */
	const double minimum = 0.3 * 1.1 * 45 / 0.85 / 90;
	admission_shares_t shares;

	admission_shares_compute(demand, none_waiting, 45, &shares);
	CU_ASSERT_EQUAL(shares.level, 0);
	CU_ASSERT_EQUAL(shares.promoted[0], 0);
	CU_ASSERT_EQUAL(shares.promoted[1], 0);
	CU_ASSERT_DOUBLE_EQUAL(shares.admitted[1], 0.5 - minimum, ROUNDING);
	CU_ASSERT_DOUBLE_EQUAL(shares.promoted[2], minimum, ROUNDING);
	CU_ASSERT_DOUBLE_EQUAL(shares.admitted[2], minimum, ROUNDING);
	/* The first request of a rank without demand gets the minimum too. */
	CU_ASSERT_DOUBLE_EQUAL(shares.promoted[9], minimum, ROUNDING);
}

/*
 * Guards against promoted requests that are refused like others of rank 0: when
 * that is not admitted in full, more must be promoted.
 */
static void test_more_is_promoted_if_rank_0_is_short(void)
{
	static const double demand[REQUEST_RANKS] = { 60, 15, 15 };
	const double minimum = 0.3 * 1.1 * 45 / 0.85 / 90;
	admission_shares_t shares;

	admission_shares_compute(demand, none_waiting, 45, &shares);
	CU_ASSERT_EQUAL(shares.level, REQUEST_RANK_NONE);
	CU_ASSERT(shares.admitted[0] < 1);
	CU_ASSERT_EQUAL(shares.promoted[0], 0);
	for (int rank = 1; rank < REQUEST_RANKS; rank++) {
		CU_ASSERT_DOUBLE_EQUAL(shares.admitted[rank], minimum,
				       ROUNDING);
		CU_ASSERT_DOUBLE_EQUAL(shares.promoted[rank] *
					       shares.admitted[0],
				       minimum, ROUNDING);
	}
}

/* Guards against a division by zero when there is no capacity or no demand. */
static void test_nothing_to_divide(void)
{
	static const double demand[REQUEST_RANKS] = { 1, 1 };
	admission_shares_t shares;

	admission_shares_compute(demand, none_waiting, 0, &shares);
	CU_ASSERT_EQUAL(shares.level, REQUEST_RANK_NONE);
	for (int rank = 0; rank < REQUEST_RANKS; rank++) {
		CU_ASSERT_EQUAL(shares.admitted[rank], 0);
		CU_ASSERT_EQUAL(shares.promoted[rank], 0);
	}
	admission_shares_compute(none_waiting, none_waiting, 0, &shares);
	CU_ASSERT_EQUAL(shares.level, REQUEST_RANKS - 1);
}

/* Guards against a rank that gets less when machines are added. */
static void test_more_capacity_admits_no_less(void)
{
	GRand *random = g_rand_new_with_seed(SEED);

	for (int i = 0; i < ROUNDS; i++) {
		double demand[REQUEST_RANKS];
		double waiting[REQUEST_RANKS];
		admission_shares_t before;

		draw_demand(random, demand);
		draw_waiting(random, waiting);
		admission_shares_compute(demand, waiting, 0, &before);
		for (int part = 1; part < 30; part++) {
			admission_shares_t after;

			admission_shares_compute(demand, waiting,
						 sum(demand) * part / 20,
						 &after);
			for (int rank = 0; rank < REQUEST_RANKS; rank++)
				CU_ASSERT(after.admitted[rank] >=
					  before.admitted[rank] - ROUNDING);
			CU_ASSERT(after.level >= before.level);
			before = after;
		}
	}
	g_rand_free(random);
}

/* Guards against a rank that loses its minimum to the waiting ones of others. */
static void test_waiting_requests_do_not_take_the_minimum(void)
{
	static const double demand[REQUEST_RANKS] = { 30, 30, 30 };
	static const double waiting[REQUEST_RANKS] = { 50000 };
	const double minimum = 0.3 * 1.1 * 60 / 0.85 / 90;
	admission_shares_t shares;

	admission_shares_compute(demand, waiting, 60, &shares);
	CU_ASSERT_DOUBLE_EQUAL(shares.promoted[1], minimum, ROUNDING);
	CU_ASSERT_DOUBLE_EQUAL(shares.promoted[2], minimum, ROUNDING);
	/* What the others leave, of 30 arriving and 50 waiting. */
	CU_ASSERT_DOUBLE_EQUAL(shares.admitted[0], (60 - 60 * minimum) / 80,
			       ROUNDING);
	CU_ASSERT_EQUAL(shares.level, REQUEST_RANK_NONE);
}

/*
 * Guards against promotion that prefers a size or drifts from the fraction: in
 * tokens it holds at any time within one request, and for large ones too.
 */
static void test_promotion_keeps_the_fraction(void)
{
	GRand *random = g_rand_new_with_seed(SEED);
	double credit = 0;
	double tokens = 0;
	double promoted = 0;
	double large = 0;
	double promoted_large = 0;

	for (int i = 0; i < 100000; i++) {
		bool is_large = g_rand_int_range(random, 0, 10) == 0;
		double size = is_large ? 4000 : 100;
		bool is_promoted = admission_shares_promote(&credit, 0.2, size);

		tokens += size;
		promoted += is_promoted ? size : 0;
		large += is_large;
		promoted_large += is_large && is_promoted;
		CU_ASSERT(fabs(promoted - 0.2 * tokens) <= 4000);
	}
	/* Three standard errors of a fraction of 10,000. */
	CU_ASSERT(fabs(promoted_large / large - 0.2) <= 0.012);
	CU_ASSERT_FALSE(admission_shares_promote(&credit, 0, 100));
	g_rand_free(random);
}

static const unit_test_t tests[] = {
	{ "sufficient capacity admits all",
	  test_sufficient_capacity_admits_all },
	{ "minimum and order", test_minimum_and_order },
	{ "only the minimum is promoted", test_only_the_minimum_is_promoted },
	{ "more is promoted if rank 0 is short",
	  test_more_is_promoted_if_rank_0_is_short },
	{ "nothing to divide", test_nothing_to_divide },
	{ "more capacity admits no less", test_more_capacity_admits_no_less },
	{ "waiting requests do not take the minimum",
	  test_waiting_requests_do_not_take_the_minimum },
	{ "promotion keeps the fraction", test_promotion_keeps_the_fraction },
};

int main(void)
{
	return unit_run("admission_shares", tests, ARRAY_SIZE(tests));
}
