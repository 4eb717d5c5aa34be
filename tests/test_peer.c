/* test_peer.c - the link between processes under its failures.

   Needs: peer_kit.h, Criterion.  */

#include "peer_kit.h"
#include <criterion/criterion.h>

TestSuite (peer, .init = kit_start, .fini = kit_stop, .timeout = 120);

Test (peer, both_keep)
{
  struct kit_node *a
      = kit_node (&(struct kit_options){ .host = "a", .boot = 1 });
  struct kit_node *b
      = kit_node (&(struct kit_options){ .host = "b", .boot = 2 });

  a->burst = 100;
  b->burst = 100;
  mq_peer_net_keep (a->net, b->address);
  mq_peer_net_keep (b->net, a->address);
  kit_wait (kit_is_up, a, NULL);
  kit_wait (kit_is_up, b, NULL);
  kit_run_ticks (a, 120);
  kit_run_ticks (b, 20);
  cr_assert_eq (a->up, 1);
  cr_assert_eq (b->up, 1);
  cr_assert_eq (kit_count (a, KIT_MESSAGE), 100);
  cr_assert_eq (kit_count (b, KIT_MESSAGE), 100);
}
