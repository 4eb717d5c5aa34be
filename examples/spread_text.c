/* spread_text.c - one host receives a configuration from the store and
   forwards it to a host that cannot reach the store.

   Needs: mimosaquay.h.  */

#include <mimosaquay.h>
#include <stdio.h>
#include <string.h>

enum
{
  PEER = 1 /* both hosts use this handle for each other */
};

/* Delivers messages in both directions until neither host sends more.  */
static void
exchange (struct mq_spread *from, struct mq_spread *to,
          struct mq_spread_input *input)
{
  struct mq_actions *actions = mq_actions_create (NULL);

  mq_spread_handle (from, input, actions);
  for (size_t i = 0; i < actions->count; i++)
    if (actions->items[i].type == MQ_ACT_SEND)
      {
        struct mq_spread_input received
            = { .type = MQ_SPREAD_MESSAGE, .peer = PEER };

        received.now_us = input->now_us + 1000;
        received.u.message = &actions->items[i].u.message;
        printf ("  %s\n", mq_message_name (received.u.message->type));
        exchange (to, from, &received);
      }
  talloc_free (actions);
}

int
main (void)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_spread *reader = mq_spread_create (ctx, "a", "hann", 1);
  struct mq_spread *follower = mq_spread_create (ctx, "b", "hann", 2);
  struct mq_spread_input up = { .type = MQ_SPREAD_PEER_UP, .peer = PEER };
  struct mq_message text = { .type = MQ_MSG_CONFIG_TEXT, .config_version = 3 };
  struct mq_spread_input row = { .type = MQ_SPREAD_MESSAGE, .peer = 2 };

  text.u.config.version = 3;
  text.u.config.text = "[site]\nname = demo\n";
  row.u.message = &text;
  puts ("version 3 comes to a:");
  exchange (reader, follower, &row);
  puts ("b connects to a:");
  exchange (follower, reader, &up);
  printf ("a holds %u, b holds %u\n", (unsigned)mq_spread_version (reader),
          (unsigned)mq_spread_version (follower));
  talloc_free (ctx);
  return 0;
}
