/* test_config_wait.c - queue of forwarded requests that wait for a newer
   configuration.

   Guards against a request being refused as "not found" because its service
   exists only in a configuration that the receiver has not loaded yet.
   Needs: Criterion, config_wait.h.  */

#include "core/limits.h"
#include "entry/config_wait.h"
#include <criterion/criterion.h>
#include <string.h>

enum
{
  MS = 1000,
  STEPS_MAX = 8
};

enum step_type
{
  END,
  RECEIVE,        /* message A of peer B with version C */
  UPDATE_VERSION, /* version C becomes active */
  ELAPSE,         /* A milliseconds pass */
  PEER_DOWN       /* peer B disconnects */
};

struct step
{
  enum step_type type;
  uint32_t a;
  uint32_t b;
  uint64_t c;
  const char *expect; /* messages delivered */
};

static const struct
{
  const char *name;
  struct step steps[STEPS_MAX];
} cases[] = {
  { "same or lower version: delivered at once",
    { { RECEIVE, 1, 1, 7, "1" }, { RECEIVE, 2, 1, 6, "2" } } },
  { "a higher version waits until it is active",
    { { RECEIVE, 1, 1, 8, "" }, { UPDATE_VERSION, 0, 0, 8, "1" } } },
  { "the end of a request does not overtake the request",
    { { RECEIVE, 1, 1, 8, "" },
      { RECEIVE, 2, 1, 7, "" },
      { UPDATE_VERSION, 0, 0, 8, "12" } } },
  { "messages of other peers do not wait",
    { { RECEIVE, 1, 1, 8, "" },
      { RECEIVE, 2, 2, 7, "2" },
      { UPDATE_VERSION, 0, 0, 9, "1" } } },
  { "the wait ends after the timeout",
    { { RECEIVE, 1, 1, 8, "" },
      { ELAPSE, MQ_CONFIG_WAIT_MS - 1, 0, 0, "" },
      { ELAPSE, 1, 0, 0, "1" } } },
  { "an update to a lower version does not end the wait",
    { { RECEIVE, 1, 1, 9, "" },
      { UPDATE_VERSION, 0, 0, 8, "" },
      { UPDATE_VERSION, 0, 0, 9, "1" } } },
  { "requests of a disconnected peer are dropped, others stay",
    { { RECEIVE, 1, 1, 8, "" },
      { RECEIVE, 2, 2, 8, "" },
      { RECEIVE, 3, 1, 8, "" },
      { PEER_DOWN, 0, 1, 0, "" },
      { RECEIVE, 4, 2, 8, "" },
      { UPDATE_VERSION, 0, 0, 8, "24" } } },
};

static void
deliver (uint32_t peer, const struct mq_message *message, void *user)
{
  char **out = user;

  (void)peer;
  *out = talloc_asprintf_append (
      *out, "%u", (unsigned int)message->u.forward_close.handle);
}

Test (config_wait, order_and_timeout)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct mq_config_wait *queue = mq_config_wait_create (NULL);
      uint64_t version = 7;
      uint64_t now_us = 5;

      for (const struct step *step = cases[i].steps; step->type != END; step++)
        {
          struct mq_message message = { .type = MQ_MSG_FORWARD_CLOSE };
          char *out = talloc_strdup (queue, "");

          message.config_version = step->c;
          message.u.forward_close.handle = step->a;
          if (step->type == UPDATE_VERSION)
            version = step->c;
          if (step->type == ELAPSE)
            now_us += (uint64_t)step->a * MS;
          if (step->type == PEER_DOWN)
            mq_config_wait_drop_peer (queue, step->b);
          if (step->type != RECEIVE)
            mq_config_wait_release (queue, now_us, version, deliver, &out);
          else if (!mq_config_wait_add (queue, now_us, version, step->b,
                                        &message))
            deliver (step->b, &message, &out);
          cr_expect_str_eq (out, step->expect, "%s", cases[i].name);
        }
      cr_expect_eq (mq_config_wait_next (queue), UINT64_MAX, "%s",
                    cases[i].name);
      talloc_free (queue);
    }
}

/* The queue is bounded: when it is full, requests are delivered at once.  */
Test (config_wait, bounded_queue)
{
  struct mq_config_wait *queue = mq_config_wait_create (NULL);
  struct mq_message message
      = { .type = MQ_MSG_FORWARD_CLOSE, .config_version = 2 };

  for (uint32_t i = 0; i < MQ_CONFIG_WAITERS_MAX; i++)
    cr_assert (mq_config_wait_add (queue, 0, 1, 1, &message));
  cr_expect (!mq_config_wait_add (queue, 0, 1, 1, &message));
  talloc_free (queue);
}
