/* test_hold.c - requests that wait for a newer configuration.

   An operator applies version 8 with a new service.  The host that took the
   caller's request holds it already, the owner's host still holds 7: refused
   there, the caller would hear "not found" of a service that is in force.
   Needs: criterion, hold.h.  */

#include "core/limits.h"
#include "entry/config_wait.h"
#include <criterion/criterion.h>
#include <string.h>

enum
{
  MS = 1000,
  STEPS_MAX = 8
};

enum what
{
  END,
  COMES, /* message A of peer B under version C */
  RISES, /* version C is in force here */
  WAITS, /* A milliseconds pass */
  LOST   /* peer B is gone */
};

struct step
{
  enum what what;
  uint32_t a;
  uint32_t b;
  uint64_t c;
  const char *expect; /* messages handed on */
};

static const struct
{
  const char *story;
  struct step steps[STEPS_MAX];
} cases[] = {
  { "same version: at once",
    { { COMES, 1, 1, 7, "1" }, { COMES, 2, 1, 6, "2" } } },
  { "a higher version waits until it is in force",
    { { COMES, 1, 1, 8, "" }, { RISES, 0, 0, 8, "1" } } },
  { "the end of a request does not overtake the request",
    { { COMES, 1, 1, 8, "" },
      { COMES, 2, 1, 7, "" },
      { RISES, 0, 0, 8, "12" } } },
  { "another peer does not wait with it",
    { { COMES, 1, 1, 8, "" },
      { COMES, 2, 2, 7, "2" },
      { RISES, 0, 0, 9, "1" } } },
  { "a version that does not come is not waited for",
    { { COMES, 1, 1, 8, "" },
      { WAITS, MQ_HOLD_MS - 1, 0, 0, "" },
      { WAITS, 1, 0, 0, "1" } } },
  { "a lower rise is not enough",
    { { COMES, 1, 1, 9, "" },
      { RISES, 0, 0, 8, "" },
      { RISES, 0, 0, 9, "1" } } },
  { "a lost peer's requests are forgotten, the others stay",
    { { COMES, 1, 1, 8, "" },
      { COMES, 2, 2, 8, "" },
      { COMES, 3, 1, 8, "" },
      { LOST, 0, 1, 0, "" },
      { COMES, 4, 2, 8, "" },
      { RISES, 0, 0, 8, "24" } } },
};

static void
hand_on (uint32_t peer, const struct mq_message *message, void *user)
{
  char **out = user;

  (void)peer;
  *out = talloc_asprintf_append (
      *out, "%u", (unsigned int)message->u.forward_close.handle);
}

Test (hold, cases)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct mq_config_wait *hold = mq_config_wait_create (NULL);
      uint64_t version = 7;
      uint64_t now_us = 5;

      for (const struct step *step = cases[i].steps; step->what != END; step++)
        {
          struct mq_message message = { .type = MQ_MSG_FORWARD_CLOSE };
          char *out = talloc_strdup (hold, "");

          message.config_version = step->c;
          message.u.forward_close.handle = step->a;
          if (step->what == RISES)
            version = step->c;
          if (step->what == WAITS)
            now_us += (uint64_t)step->a * MS;
          if (step->what == LOST)
            mq_config_wait_drop_peer (hold, step->b);
          if (step->what != COMES)
            mq_config_wait_release (hold, now_us, version, hand_on, &out);
          else if (!mq_config_wait_add (hold, now_us, version, step->b,
                                        &message))
            hand_on (step->b, &message, &out);
          cr_expect_str_eq (out, step->expect, "%s", cases[i].story);
        }
      cr_expect_eq (mq_config_wait_next (hold), UINT64_MAX, "%s",
                    cases[i].story);
      talloc_free (hold);
    }
}

/* A peer far ahead can't fill the memory: over the bound requests are handed
   on at once.  */
Test (hold, bounded)
{
  struct mq_config_wait *hold = mq_config_wait_create (NULL);
  struct mq_message message
      = { .type = MQ_MSG_FORWARD_CLOSE, .config_version = 2 };

  for (uint32_t i = 0; i < MQ_HOLD_MAX; i++)
    cr_assert (mq_config_wait_add (hold, 0, 1, 1, &message));
  cr_expect (!mq_config_wait_add (hold, 0, 1, 1, &message));
  talloc_free (hold);
}
