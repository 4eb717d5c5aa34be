/* drive_gate.c - a gate executes a duplicate call at most once.

   Needs: mimosaquay.h.  */

#include <mimosaquay.h>
#include <stdio.h>

static void
handle_input (struct mq_gate *gate, const char *label,
              struct mq_gate_input *input)
{
  struct mq_actions *actions = mq_actions_create (NULL);

  mq_gate_handle (gate, input, actions);
  printf ("%s:", label);
  for (size_t i = 0; i < actions->count; i++)
    if (actions->items[i].type == MQ_ACT_START)
      printf (" start at %s", actions->items[i].u.start.service);
    else if (actions->items[i].type == MQ_ACT_SEND
             && actions->items[i].u.message.type == MQ_MSG_OUTCOME)
      printf (" outcome %s",
              mq_error_name (actions->items[i].u.message.u.outcome.error));
  putchar ('\n');
  talloc_free (actions);
}

int
main (void)
{
  const struct mq_gate_worker worker = { "ledger", MQ_SERVICE_TOOL, "", 1, 0 };
  const struct mq_gate_options options
      = { .host = "t1", .boot = 7, .workers = &worker, .worker_count = 1 };
  struct mq_gate *gate = mq_gate_create (NULL, &options);
  struct mq_message call = { .type = MQ_MSG_CALL };
  struct mq_gate_input up = { .type = MQ_GATE_PEER_UP, .peer = 1 };
  struct mq_gate_input sent = { .type = MQ_GATE_MESSAGE, .peer = 1 };
  struct mq_gate_input done = { .type = MQ_GATE_DONE };

  call.u.call = (struct mq_call_msg){ .ref = { { 1, 1 }, 1, 1 },
                                      .fence = 5,
                                      .boot = 7,
                                      .service = "ledger",
                                      .route = "/pay",
                                      .organisation = "hr",
                                      .traceparent = "",
                                      .body = "{}" };
  sent.u.message = &call;
  handle_input (gate, "owner connected", &up);
  handle_input (gate, "call", &sent);
  handle_input (gate, "the same call", &sent);
  done.u.done
      = (struct mq_gate_done){ .slot = 1, .ran = MQ_RAN_RAN, .body = "{}" };
  handle_input (gate, "target answered", &done);
  handle_input (gate, "the same call", &sent);
  call.u.call.fence = 4;
  handle_input (gate, "call of an old owner", &sent);
  mq_gate_destroy (gate);
  return 0;
}
