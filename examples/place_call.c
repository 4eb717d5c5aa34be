/* place_call.c - select a worker for a model call.

   Needs: mimosaquay.h.  */

#include <mimosaquay.h>
#include <stdio.h>

enum
{
  NOW_US = 1000000
};

static struct mq_worker_view
view_of (const char *host, uint32_t busy)
{
  struct mq_worker_view view = { .slots = 8, .same_data_centre = true };

  view.name_hash = mq_rendezvous_weight (host, 0);
  view.reported_busy = busy;
  view.reported_us = NOW_US;
  view.cache_free = 60000;
  view.prefill_rate = 8000;
  view.decode_us = 8000;
  return view;
}

int
main (void)
{
  static const char *const names[] = { "idle", "busy", "leaving" };
  struct mq_worker_view views[]
      = { view_of ("a", 0), view_of ("b", 6), view_of ("c", 0) };
  struct mq_place_call fresh
      = { .prompt_tokens = 4000, .expected_tokens = 100, .sticky = -1 };
  struct mq_place_call cached = fresh;
  struct mq_place_state *state = mq_place_create (NULL, 1);
  int32_t chosen;

  views[2].avoid = true;
  chosen = mq_place_choose (state, MQ_POLICY_FINISH, views, 3, &fresh, NOW_US);
  printf ("a new prompt of 4000 tokens: %s\n", names[chosen]);
  cached.sticky = 1;
  cached.sticky_tokens = 3900;
  chosen
      = mq_place_choose (state, MQ_POLICY_FINISH, views, 3, &cached, NOW_US);
  printf ("3900 of them cached at the busy one: %s\n", names[chosen]);
  views[0].avoid = true;
  views[1].avoid = true;
  chosen = mq_place_choose (state, MQ_POLICY_FINISH, views, 3, &fresh, NOW_US);
  printf ("every worker to be avoided: %d\n", chosen);
  mq_place_destroy (state);
  return 0;
}
