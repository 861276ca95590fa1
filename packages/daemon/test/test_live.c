// A node's liveness key in virtual time, with a fake store.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "lead/live.h"
#include "lead/live_value.h"

static int64_t now;
static struct kv_cb outstanding; ///< call without an answer yet
static int revokes; ///< calls that revoke the lease
static struct live l;

/* Fakes of the modules that live.c calls. */
int64_t core_now(const struct core *c)
{
	return now;
}

const char *core_node(const struct core *c)
{
	return "n1";
}

const char *core_incarnation(const struct core *c)
{
	return "r1";
}

size_t live_value_write(struct core *c, bool retiring, char *buf, size_t len)
{
	return 0;
}

static enum err start_call(struct kv_cb cb)
{
	assert_null(outstanding.fn);
	outstanding = cb;
	return ERR_OK;
}

enum err kv_get(struct core *c, const char *key, struct kv_cb cb)
{
	return start_call(cb);
}

enum err kv_put(struct core *c, const struct kv_put_opts *opts, struct kv_cb cb)
{
	return start_call(cb);
}

enum err kv_lease_grant(struct core *c, int64_t ttl_ms, struct kv_cb cb)
{
	return start_call(cb);
}

enum err kv_lease_renew(struct core *c, uint64_t lease, struct kv_cb cb)
{
	return start_call(cb);
}

enum err kv_lease_revoke(struct core *c, uint64_t lease, struct kv_cb cb)
{
	revokes++;
	return start_call(cb);
}

static void answer(enum err e)
{
	const struct kv_result res = {.err = e, .lease = 7, .rev = 3};
	const struct kv_cb cb = outstanding;

	assert_non_null(cb.fn);
	outstanding.fn = NULL;
	cb.fn(NULL, cb.ctx, &res);
}

/* Bring the key to the held state. */
static int setup_held_key(void **state)
{
	now = 1000;
	revokes = 0;
	outstanding.fn = NULL;
	l = (struct live){.home = true, .step = LIVE_GRANT};
	live_step(NULL, &l);
	answer(ERR_OK);
	live_step(NULL, &l);
	answer(ERR_OK);
	assert_true(live_held(&l, now));
	return 0;
}

/* Guards against a lease that is never revoked, so that the key stays until it
 * expires: the answer of an outstanding renewal was taken for that of the revoke. */
static void test_revoke_after_outstanding_renewal(void **state)
{
	now += 500;
	live_step(NULL, &l);
	live_revoke(&l);
	answer(ERR_OK);
	live_step(NULL, &l);
	assert_int_equal(revokes, 1);
	answer(ERR_OK);
	assert_int_equal(l.step, LIVE_ENDED);
}

/* Guards against a key that stays because a failed revoke was not retried. */
static void test_failed_revoke_is_retried(void **state)
{
	live_revoke(&l);
	live_step(NULL, &l);
	answer(ERR_KV_DOWN);
	assert_int_equal(l.step, LIVE_REVOKE);
	now += 1000;
	live_step(NULL, &l);
	assert_int_equal(revokes, 2);
	answer(ERR_NOT_FOUND);
	assert_int_equal(l.step, LIVE_ENDED);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_revoke_after_outstanding_renewal,
				       setup_held_key),
		cmocka_unit_test_setup(test_failed_revoke_is_retried,
				       setup_held_key),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
