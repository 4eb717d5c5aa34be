/* gate_driver.c - runs table-driven steps against a gate.

   Needs: gate_driver.h.  */

#include "gate_driver.h"
#include "core/id.h"
#include <stdlib.h>

enum
{
  FIRST_BOOT = 7001,
  FIRST_US = 1000000
};

static const struct mq_gate_worker two_workers[] = {
  { "m", MQ_SERVICE_MODEL, "guide", 1, 100000 },
  { "p", MQ_SERVICE_PLAIN, "", 1, 0 },
};

struct mq_id
gate_driver_program (uint32_t number)
{
  struct mq_id id = { number, 0 };

  return id;
}

static void
clear_actions (struct gate_driver *driver)
{
  mq_actions_clear (driver->actions);
}

static void
connect_peers (struct gate_driver *driver)
{
  for (uint32_t peer = 1; peer <= 3; peer++)
    {
      struct mq_gate_input input = { .type = MQ_GATE_PEER_UP, .peer = peer };

      input.now_us = driver->now_us;
      mq_gate_handle (driver->gate, &input, driver->actions);
    }
  clear_actions (driver);
}

struct gate_driver *
gate_driver_create (const struct mq_gate_options *options)
{
  struct gate_driver *driver = talloc_zero (NULL, struct gate_driver);

  driver->actions = mq_actions_create (driver);
  if (options != NULL)
    driver->options = *options;
  else
    {
      driver->options.workers = two_workers;
      driver->options.worker_count = 2;
    }
  driver->options.host = "t1";
  driver->options.boot = FIRST_BOOT;
  driver->options.seed = 1;
  driver->first_boot = FIRST_BOOT;
  driver->now_us = FIRST_US;
  driver->gate = mq_gate_create (driver, &driver->options);
  connect_peers (driver);
  return driver;
}

void
gate_driver_destroy (struct gate_driver *driver)
{
  talloc_free (driver);
}

static void
reboot (struct gate_driver *driver)
{
  mq_gate_destroy (driver->gate);
  driver->options.boot++;
  driver->gate = mq_gate_create (driver, &driver->options);
  driver->start_count = 0;
  connect_peers (driver);
}

static uint32_t
one_if_zero (uint32_t value)
{
  return value == 0 ? 1 : value;
}

static struct mq_call_ref
step_ref (const struct gate_step *step)
{
  struct mq_call_ref ref;

  ref.program = gate_driver_program (one_if_zero (step->program));
  ref.call = one_if_zero (step->call);
  ref.attempt = one_if_zero (step->attempt);
  return ref;
}

static uint64_t
step_fence (const struct gate_step *step)
{
  return step->fence == 0 ? 1 : step->fence;
}

static const char *
step_service (const struct gate_driver *driver, const struct gate_step *step)
{
  if (step->service != NULL)
    return step->service;
  if (step->worker >= driver->options.worker_count)
    return "";
  return driver->options.workers[step->worker].service;
}

static void
fill_call (const struct gate_driver *driver, const struct gate_step *step,
           struct mq_call_msg *call)
{
  call->ref = step_ref (step);
  call->fence = step_fence (step);
  if (!step->no_boot)
    call->boot = step->old_boot ? driver->first_boot : driver->options.boot;
  call->worker = step->worker;
  call->service = step_service (driver, step);
  call->route = "";
  call->organisation
      = step->organisation == NULL ? "diagne" : step->organisation;
  call->idempotent = step->idempotent;
  call->priority = step->priority;
  call->deadline_ms = step->deadline_ms;
  call->attained = step->attained;
  call->continuing = step->continuing;
  call->follow_up = step->follow_up;
  call->shared_prefix = step->prefix;
  call->traceparent = "";
  call->body = step->body == NULL ? "{}" : step->body;
}

static void
fill_message (const struct gate_driver *driver, const struct gate_step *step,
              struct mq_message *message)
{
  struct mq_ref_msg about = { step_ref (step), 0, step_fence (step) };

  switch (step->type)
    {
    case STEP_CALL:
      message->type = MQ_MSG_CALL;
      fill_call (driver, step, &message->u.call);
      break;
    case STEP_CANCEL:
      message->type = MQ_MSG_CANCEL;
      message->u.ref = about;
      break;
    case STEP_SEAL:
      message->type = MQ_MSG_SEAL;
      message->u.ref = about;
      break;
    case STEP_FORGET:
      message->type = MQ_MSG_FORGET;
      message->u.ref = about;
      break;
    case STEP_RECOVER:
      message->type = MQ_MSG_RECOVER;
      message->u.recover.fence = about.fence;
      break;
    case STEP_LEASE:
      message->type = MQ_MSG_LEASE;
      message->u.lease.program = about.ref.program;
      message->u.lease.fence = about.fence;
      message->u.lease.state = step->lease;
      message->u.lease.lease_ms = step->ms;
      break;
    case STEP_ORDER:
      message->type = MQ_MSG_ORDER;
      message->u.order.order = step->id;
      message->u.order.fence = about.fence;
      message->u.order.worker = step->worker;
      message->u.order.type = step->order;
      message->u.order.argument = step->body;
      break;
    case STEP_PROBE:
      message->type = MQ_MSG_PROBE;
      message->u.probe.probe = step->id;
      message->u.probe.program = about.ref.program;
      message->u.probe.shared_prefix = step->prefix;
      break;
    default:
      message->type = MQ_MSG_CONFIG_HAVE;
      message->u.config.text = "";
      break;
    }
}

static uint32_t
find_slot (const struct gate_driver *driver, const struct gate_step *step)
{
  struct mq_call_ref ref = step_ref (step);

  for (size_t i = driver->start_count; i > 0; i--)
    {
      const struct mq_start *start = &driver->starts[i - 1];

      if (mq_id_equal (start->ref.program, ref.program)
          && start->ref.call == ref.call && start->ref.attempt == ref.attempt)
        return start->slot;
    }
  return 0;
}

static void
fill_done (const struct gate_driver *driver, const struct gate_step *step,
           struct mq_gate_done *done)
{
  done->slot = find_slot (driver, step);
  done->error = step->error;
  done->ran = step->error == MQ_ERR_NONE ? MQ_RAN_RAN : step->ran;
  done->body = step->body == NULL ? "" : step->body;
  done->tokens_in = step->tokens_in;
  done->tokens_out = step->tokens_out;
  done->cached_tokens = step->cached;
}

static size_t
count_entries (const struct gate_step *step)
{
  size_t count = 0;

  while (count < 3 && step->entries[count].tokens != 0)
    count++;
  return count;
}

static void
fill_input (struct gate_driver *driver, const struct gate_step *step,
            struct mq_gate_input *input)
{
  switch (step->type)
    {
    case STEP_TOKEN:
      input->type = MQ_GATE_TOKEN;
      input->u.token.slot = find_slot (driver, step);
      input->u.token.text = step->body;
      break;
    case STEP_DONE:
      input->type = MQ_GATE_DONE;
      fill_done (driver, step, &input->u.done);
      break;
    case STEP_EVICTED:
      input->type = MQ_GATE_EVICTED;
      input->u.evicted.worker = step->worker;
      input->u.evicted.program = step_ref (step).program;
      input->u.evicted.confirmed = !step->failed;
      break;
    case STEP_CACHE:
      input->type = MQ_GATE_CACHE;
      input->u.cache.worker = step->worker;
      input->u.cache.entries = step->entries;
      input->u.cache.entry_count = count_entries (step);
      break;
    case STEP_UP:
      input->type = MQ_GATE_ENGINE_UP;
      input->u.worker = step->worker;
      input->engine_boot = step->boot;
      break;
    case STEP_DOWN:
      input->type = MQ_GATE_ENGINE_DOWN;
      input->u.worker = step->worker;
      break;
    case STEP_ORDERED:
      input->type = MQ_GATE_ORDERED;
      input->u.ordered.order = step->id;
      input->u.ordered.error = step->error;
      break;
    case STEP_LEAVE:
      input->type = MQ_GATE_LEAVE;
      break;
    case STEP_PEER_UP:
      input->type = MQ_GATE_PEER_UP;
      break;
    case STEP_PEER_DOWN:
      input->type = MQ_GATE_PEER_DOWN;
      break;
    case STEP_WAIT:
      input->type = MQ_GATE_TICK;
      break;
    default:
      input->type = MQ_GATE_MESSAGE;
      break;
    }
}

/* Formatting of actions.  */

static void append (char **text, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
append (char **text, const char *format, ...)
{
  va_list arguments;

  if ((*text)[0] != '\0')
    *text = talloc_strdup_append_buffer (*text, "; ");
  va_start (arguments, format);
  *text = talloc_vasprintf_append_buffer (*text, format, arguments);
  va_end (arguments);
}

#define REF_FORMAT "%u/%u.%u"
#define REF_VALUES(ref)                                                       \
  (unsigned int)(ref).program.hi, (ref).call, (ref).attempt

static void
write_outcome (char **text, uint32_t peer, const struct mq_outcome_msg *msg)
{
  append (text, "outcome@%u " REF_FORMAT " f%u %s %s", peer,
          REF_VALUES (msg->ref), (unsigned int)msg->fence,
          mq_error_name (msg->error), mq_ran_name (msg->ran));
  if (msg->recovered)
    *text = talloc_strdup_append_buffer (*text, " recovered");
  if (msg->retry_after_ms > 0)
    *text = talloc_strdup_append_buffer (*text, " retry");
  if (msg->body[0] != '\0')
    *text = talloc_asprintf_append_buffer (*text, " =%s", msg->body);
}

static void
write_recovered (char **text, uint32_t peer,
                 const struct mq_recovered_msg *msg)
{
  append (text, "recovered@%u f%u", peer, (unsigned int)msg->fence);
  for (size_t i = 0; i < msg->running_count; i++)
    *text = talloc_asprintf_append_buffer (*text, " " REF_FORMAT,
                                           REF_VALUES (msg->running[i]));
}

static void
write_load (char **text, uint32_t peer, const struct mq_load_msg *msg)
{
  append (text, "load@%u%s", peer, msg->leaving ? " leaving" : "");
  for (size_t i = 0; i < msg->worker_count; i++)
    *text = talloc_asprintf_append_buffer (
        *text, " %u+%u/%u", msg->workers[i].running, msg->workers[i].queued,
        msg->workers[i].slots);
}

static void
write_message (char **text, uint32_t peer, const struct mq_message *message,
               bool loads)
{
  static const char *const answers[] = { [MQ_SEAL_DONE] = "done",
                                         [MQ_SEAL_RUNNING] = "running",
                                         [MQ_SEAL_SEALED] = "sealed",
                                         [MQ_SEAL_STALE] = "stale" };

  switch (message->type)
    {
    case MQ_MSG_OUTCOME:
      write_outcome (text, peer, &message->u.outcome);
      break;
    case MQ_MSG_TOKEN:
      append (text, "token@%u " REF_FORMAT " f%u [%u] %s", peer,
              REF_VALUES (message->u.token.ref),
              (unsigned int)message->u.token.fence, message->u.token.index,
              message->u.token.text);
      break;
    case MQ_MSG_SEALED:
      append (text, "sealed@%u " REF_FORMAT " f%u %s", peer,
              REF_VALUES (message->u.sealed.ref),
              (unsigned int)message->u.sealed.fence,
              answers[message->u.sealed.answer]);
      break;
    case MQ_MSG_RECOVERED:
      write_recovered (text, peer, &message->u.recovered);
      break;
    case MQ_MSG_EVICTED:
      append (text, "evicted@%u %u", peer,
              (unsigned int)message->u.evicted.program.hi);
      break;
    case MQ_MSG_ORDER_DONE:
      append (text, "ordered@%u %u %s", peer,
              (unsigned int)message->u.order_done.order,
              mq_error_name (message->u.order_done.error));
      break;
    case MQ_MSG_PROBED:
      append (text, "probed@%u w%u %u %u", peer, message->u.probed.worker,
              message->u.probed.program_tokens,
              message->u.probed.shared_tokens);
      break;
    case MQ_MSG_LOAD:
      if (loads)
        write_load (text, peer, &message->u.load);
      break;
    default:
      append (text, "%s@%u", mq_message_name (message->type), peer);
      break;
    }
}

static const char *
state_name (enum mq_state_change change)
{
  switch (change)
    {
    case MQ_STATE_LEAVING:
      return "leaving";
    case MQ_STATE_DRAINED:
      return "drained";
    case MQ_STATE_EVICT_RETRY:
      return "evict_retry";
    case MQ_STATE_ORDER:
      return "order";
    default:
      return "other";
    }
}

static void
record_start (struct gate_driver *driver, const struct mq_start *start)
{
  if (driver->start_count == sizeof driver->starts / sizeof driver->starts[0])
    abort ();
  driver->starts[driver->start_count++] = *start;
}

static void
write_action (struct gate_driver *driver, const struct mq_action *action,
              bool loads)
{
  char **text = &driver->text;

  switch (action->type)
    {
    case MQ_ACT_SEND:
      write_message (text, action->peer, &action->u.message, loads);
      break;
    case MQ_ACT_START:
      record_start (driver, &action->u.start);
      append (text, "start " REF_FORMAT " w%u",
              REF_VALUES (action->u.start.ref), action->u.start.worker);
      break;
    case MQ_ACT_STOP:
      append (text, "stop " REF_FORMAT, REF_VALUES (action->u.stop.ref));
      break;
    case MQ_ACT_EVICT:
      append (text, "evict w%u %u", action->u.evict.worker,
              (unsigned int)action->u.evict.program.hi);
      break;
    case MQ_ACT_ORDER:
      append (text, "order w%u %u %s", action->u.order.worker,
              (unsigned int)action->u.order.order, action->u.order.argument);
      break;
    case MQ_ACT_STATE:
      append (text, "state %s", state_name (action->u.state.change));
      break;
    case MQ_ACT_SPAN:
    case MQ_ACT_STORE:
    case MQ_ACT_EVENT:
      break;
    }
}

const char *
gate_driver_step (struct gate_driver *driver, const struct gate_step *step)
{
  struct mq_message message = { .type = MQ_MSG_NONE };
  struct mq_gate_input input = { .type = MQ_GATE_TICK };

  clear_actions (driver);
  talloc_free (driver->text);
  driver->text = talloc_strdup (driver, "");
  if (step->type == STEP_WAIT || step->type == STEP_PAUSE)
    driver->now_us += step->ms * 1000ULL;
  if (step->type == STEP_PAUSE)
    return driver->text;
  if (step->type == STEP_REBOOT)
    {
      reboot (driver);
      return driver->text;
    }
  fill_input (driver, step, &input);
  input.peer = one_if_zero (step->peer);
  input.now_us = driver->now_us;
  if (input.type == MQ_GATE_MESSAGE)
    {
      fill_message (driver, step, &message);
      input.u.message = &message;
    }
  mq_gate_handle (driver->gate, &input, driver->actions);
  for (size_t i = 0; i < driver->actions->count; i++)
    write_action (driver, &driver->actions->items[i], step->loads);
  return driver->text;
}
