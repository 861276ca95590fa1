// Membership on a simulated network: join, death, dead connections, message loss,
// partitions, values, malformed messages. Seeds are printed.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "net.h"

enum {
	CONVERGE_MS = 20000,
	DETECTION_MS = 5000, ///< silence, suspicion and propagation
	SEED_COUNT = 5,
};

static struct net net;

static void start(int domains, int each, uint64_t seed)
{
	int64_t ms;

	net_start(&net, domains, each, seed);
	ms = net_run_until(&net, net_converged, NULL, CONVERGE_MS);
	printf("seed %llu: %d x %d settled after %lld ms\n",
	       (unsigned long long)seed, domains, each, (long long)ms);
	assert_true(ms >= 0);
}

static void test_nodes_join(void **state)
{
	static const int sizes[][2] = {
		{1, 1}, {1, 2}, {3, 3}, {4, 10}, {10, 10}};

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		start(sizes[i][0], sizes[i][1], i + 1);
		net_stop(&net);
	}
}

/// A node killed without a message is seen dead by all.
static void test_killed_node_is_seen_dead(void **state)
{
	for (uint64_t seed = 1; seed <= SEED_COUNT; seed++) {
		int killed;
		int64_t ms;

		start(3, 8, seed);
		killed = (int)rng_below(&net.rng, (uint64_t)net.n);
		net_kill_node(&net, killed);
		ms = net_run_until(&net, net_converged, NULL, DETECTION_MS);
		printf("seed %llu: n%d dead, seen after %lld ms\n",
		       (unsigned long long)seed, killed, (long long)ms);
		assert_true(ms >= 0);
		net_start_node(&net, killed);
		assert_true(net_run_until(&net, net_converged, NULL,
					  CONVERGE_MS) >= 0);
		net_stop(&net);
	}
}

static bool all_see_node_dead(struct net *n, void *ctx)
{
	for (int i = 1; i < n->n; i++) {
		if (net_state_of(n, i, 0) != MEMBER_DEAD)
			return false;
	}
	return true;
}

/// An announced leave is seen at once, without waiting for silence.
static void test_leave_is_seen_at_once(void **state)
{
	struct member_action a;
	int64_t ms;

	start(1, 9, 7);
	member_leave(net.nodes[0].m, net.now_ms);
	net_run(&net, 1);
	while (member_next_action(net.nodes[0].m, &a))
		;
	ms = net_run_until(&net, all_see_node_dead, NULL, DETECTION_MS);
	assert_in_range(ms, 0, 200);
	net_stop(&net);
}

static int count_in_state(struct net *n, enum member_state state)
{
	int count = 0;

	for (int i = 0; i < n->n; i++) {
		for (int k = 0; k < n->n; k++)
			count += i != k && net_state_of(n, i, k) == state;
	}
	return count;
}

/// Half of the connections go silent for good and are replaced in time, so that no
/// live member is lost.
static void test_dead_connections_are_replaced(void **state)
{
	for (uint64_t seed = 1; seed <= SEED_COUNT; seed++) {
		start(1, 12, seed);
		for (int i = 0; i < net.n; i++) {
			for (int k = 0; k < net.n; k++)
				net.dead[i][k] = net.linked[i][k] &&
						 rng_below(&net.rng, 2) == 0;
		}
		net_run(&net, 10000);
		assert_int_equal(count_in_state(&net, MEMBER_ALIVE),
				 net.n * (net.n - 1));
		net_stop(&net);
	}
}

/// Links fail in one direction: paths through others keep both ends alive.
static void test_one_way_loss_keeps_members_alive(void **state)
{
	for (uint64_t seed = 1; seed <= SEED_COUNT; seed++) {
		start(1, 12, seed);
		for (int i = 0; i < net.n; i++)
			net.cut[i][(i + 1 + rng_below(&net.rng, 10)) % net.n] =
				true;
		for (int s = 0; s < 500; s++) {
			net_run(&net, NET_TICK_MS);
			assert_int_equal(count_in_state(&net, MEMBER_ALIVE),
					 net.n * (net.n - 1));
		}
		net_stop(&net);
	}
}

/// A node that can send but receives nothing is seen alive by no other node.
static void test_deaf_node_is_not_alive(void **state)
{
	start(1, 9, 3);
	for (int i = 1; i < net.n; i++)
		net.cut[i][0] = true;
	net_run(&net, DETECTION_MS);
	for (int i = 1; i < net.n; i++)
		assert_int_not_equal(net_state_of(&net, i, 0), MEMBER_ALIVE);
	net_stop(&net);
}

/// With a tenth of all messages lost, no member is seen dead.
static void test_message_loss_kills_no_member(void **state)
{
	for (uint64_t seed = 1; seed <= SEED_COUNT; seed++) {
		start(2, 10, seed);
		net.loss_permille = 100;
		for (int s = 0; s < 1000; s++) {
			net_run(&net, NET_TICK_MS);
			for (int i = 0; i < 10; i++)
				for (int k = 0; k < 10; k++)
					assert_true(i == k ||
						    net_state_of(&net, i, k) !=
							    MEMBER_DEAD);
		}
		net_stop(&net);
	}
}

static void cut_between_groups(struct net *n, const int *group, bool cut)
{
	for (int i = 0; i < n->n; i++) {
		for (int k = 0; k < n->n; k++) {
			if (group[i] != group[k])
				n->cut[i][k] = cut;
		}
	}
}

struct split {
	const int *group;
};

static bool split_detected(struct net *n, void *ctx)
{
	const int *group = ((struct split *)ctx)->group;

	for (int i = 0; i < n->n; i++) {
		for (int k = 0; k < n->n; k++) {
			bool same_domain = strcmp(n->nodes[i].domain,
						  n->nodes[k].domain) == 0;

			if (i == k || !same_domain)
				continue;
			if ((net_state_of(n, i, k) == MEMBER_ALIVE) !=
			    (group[i] == group[k]))
				return false;
		}
	}
	return true;
}

/// A partition through a domain is seen by both sides, and heals.
static void test_partition_is_detected_and_heals(void **state)
{
	for (uint64_t seed = 1; seed <= SEED_COUNT; seed++) {
		int group[NET_NODES] = {0};
		struct split split = {group};
		int64_t detected, healed;

		start(2, 12, seed);
		for (int i = 0; i < net.n; i++)
			group[i] = (int)rng_below(&net.rng, 2);
		cut_between_groups(&net, group, true);
		detected = net_run_until(&net, split_detected, &split,
					 2 * DETECTION_MS);
		net_run(&net, 60000);
		assert_true(split_detected(&net, &split));
		cut_between_groups(&net, group, false);
		healed = net_run_until(&net, net_converged, NULL, CONVERGE_MS);
		printf("seed %llu: split seen after %lld ms, healed after "
		       "%lld ms\n",
		       (unsigned long long)seed, (long long)detected,
		       (long long)healed);
		assert_true(detected >= 0);
		assert_true(healed >= 0);
		net_stop(&net);
	}
}

struct domain_heard {
	int domain;
	bool expected;
};

static bool domain_heard_is(struct net *n, void *ctx)
{
	struct domain_heard *h = ctx;
	char name[16];

	snprintf(name, sizeof(name), "d%d", h->domain);
	for (int i = 0; i < n->n; i++) {
		size_t count;
		const struct member_domain *d =
			member_domains(n->nodes[i].m, &count);
		bool inside = strcmp(n->nodes[i].domain, name) == 0;

		for (size_t k = 1; k < count; k++) {
			if ((inside || strcmp(d[k].name, name) == 0) &&
			    d[k].heard != h->expected)
				return false;
		}
	}
	return true;
}

/// A partitioned domain and all others detect the partition in time.
static void test_partitioned_domain_is_detected(void **state)
{
	for (uint64_t seed = 1; seed <= SEED_COUNT; seed++) {
		int group[NET_NODES] = {0};
		struct domain_heard h = {.domain = 1, .expected = false};
		int64_t cut, back;

		start(4, 6, seed);
		for (int i = 0; i < net.n; i++)
			group[i] = i / 6 == 1;
		cut_between_groups(&net, group, true);
		cut = net_run_until(&net, domain_heard_is, &h, DETECTION_MS);
		net_run(&net, 30000);
		cut_between_groups(&net, group, false);
		h.expected = true;
		back = net_run_until(&net, domain_heard_is, &h, CONVERGE_MS);
		printf("seed %llu: cut off seen after %lld ms, back after "
		       "%lld ms\n",
		       (unsigned long long)seed, (long long)cut,
		       (long long)back);
		assert_true(cut >= 0);
		assert_true(back >= 0);
		net_stop(&net);
	}
}

static bool rev_in_all_domains(struct net *n, void *ctx)
{
	for (int i = 0; i < n->n; i++) {
		size_t count;
		const struct member_domain *d =
			member_domains(n->nodes[i].m, &count);

		for (size_t k = 0; k < count; k++) {
			if (d[k].max[MEMBER_CONF_REVISION] != 42 ||
			    d[k].alive != 5)
				return false;
		}
	}
	return true;
}

/// A value set by one node of each domain is in every domain's summary.
static void test_values_reach_all_summaries(void **state)
{
	int64_t v = 0;
	int64_t ms;

	start(3, 5, 11);
	for (int i = 0; i < net.n; i += 5)
		member_set(net.nodes[i].m, MEMBER_CONF_REVISION, 42);
	ms = net_run_until(&net, rev_in_all_domains, NULL, DETECTION_MS);
	assert_true(ms >= 0);
	assert_true(member_get(net.nodes[1].m, "n0", MEMBER_CONF_REVISION, &v));
	assert_int_equal(v, 42);
	assert_false(
		member_get(net.nodes[1].m, "n9", MEMBER_CONF_REVISION, &v));
	net_stop(&net);
}

/// Random bytes are rejected and change nothing.
static void test_malformed_is_rejected(void **state)
{
	struct rng rng = {99};
	int refused = 0;

	start(1, 4, 5);
	for (int i = 0; i < 5000; i++) {
		unsigned char buf[200];
		size_t len = rng_below(&rng, sizeof(buf));

		for (size_t k = 0; k < len; k++)
			buf[k] = (unsigned char)rng_next(&rng);
		if (len && rng_below(&rng, 2))
			buf[0] = (unsigned char)(0x92 + rng_below(&rng, 3));
		refused += member_on_msg(net.nodes[0].m, net.now_ms, "n1",
					 (enum member_msg)rng_below(&rng, 4),
					 buf, len) != ERR_OK;
	}
	assert_int_equal(refused, 5000);
	net_run(&net, 3000);
	assert_true(net_converged(&net, NULL));
	net_stop(&net);
}

/// After messages were corrupted, the members soon converge again.
static void test_recovers_from_corrupted_messages(void **state)
{
	for (uint64_t seed = 1; seed <= SEED_COUNT; seed++) {
		int group[NET_NODES] = {0};
		struct split none = {group};
		int64_t ms;

		start(3, 5, seed);
		net.damage_permille = 200;
		net_run(&net, 20000);
		net.damage_permille = 0;
		ms = net_run_until(&net, split_detected, &none, CONVERGE_MS);
		printf("seed %llu: members right %lld ms after the damage\n",
		       (unsigned long long)seed, (long long)ms);
		assert_true(ms >= 0);
		net_stop(&net);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nodes_join),
		cmocka_unit_test(test_killed_node_is_seen_dead),
		cmocka_unit_test(test_leave_is_seen_at_once),
		cmocka_unit_test(test_dead_connections_are_replaced),
		cmocka_unit_test(test_one_way_loss_keeps_members_alive),
		cmocka_unit_test(test_deaf_node_is_not_alive),
		cmocka_unit_test(test_message_loss_kills_no_member),
		cmocka_unit_test(test_partition_is_detected_and_heals),
		cmocka_unit_test(test_partitioned_domain_is_detected),
		cmocka_unit_test(test_values_reach_all_summaries),
		cmocka_unit_test(test_malformed_is_rejected),
		cmocka_unit_test(test_recovers_from_corrupted_messages),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
