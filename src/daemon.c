/* daemon.c - common main function of the daemons.

   Needs: daemon.h, argp, tevent, entry.h, target.h, log.h.  */

#include "daemon.h"
#include "entry/entry.h"
#include "log/log.h"
#include "target/target.h"
#include <argp.h>
#include <mimosaquay.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

struct daemon
{
  enum mq_host_role role;
  union
  {
    struct mq_entry *entry;
    struct mq_target *target;
  } u;
  const char *file;
  bool draining;
  bool stopped;
};

static const char *
program_name (enum mq_host_role role)
{
  switch (role)
    {
    case MQ_HOST_ENTRY:
      return "mimosa-entryd";
    case MQ_HOST_TARGET:
      break;
    }
  return "mimosa-targetd";
}

static const char *
program_doc (enum mq_host_role role)
{
  switch (role)
    {
    case MQ_HOST_ENTRY:
      return "Runs agent programs on an entry host of mimosaquay.";
    case MQ_HOST_TARGET:
      break;
    }
  return "Forwards calls to the workers of a target host of mimosaquay.";
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  struct daemon *self = state->input;

  switch (key)
    {
    case 's':
      self->file = argument;
      return 0;
    case ARGP_KEY_ARG:
      argp_usage (state);
      return EINVAL;
    case ARGP_KEY_END:
      if (self->file == NULL)
        argp_error (state, "--settings is missing");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const char *
program_version (enum mq_host_role role)
{
  switch (role)
    {
    case MQ_HOST_ENTRY:
      return "mimosa-entryd " MIMOSAQUAY_VERSION " (mimosaquay)";
    case MQ_HOST_TARGET:
      break;
    }
  return "mimosa-targetd " MIMOSAQUAY_VERSION " (mimosaquay)";
}

static void
parse_command_line (struct daemon *self, int argc, char **argv)
{
  const struct argp_option options[]
      = { { "settings", 's', "FILE", 0, "settings of this process", 0 },
          { 0 } };
  const struct argp argp = { .options = options,
                             .parser = parse_option,
                             .doc = program_doc (self->role) };

  argp_program_version = program_version (self->role);
  argp_parse (&argp, argc, argv, 0, NULL, self);
}

static void
stop (void *user)
{
  struct daemon *self = user;

  self->stopped = true;
}

static bool
create (struct daemon *self, TALLOC_CTX *ctx, struct tevent_context *ev,
        const struct mq_settings *settings, struct mq_error *error)
{
  switch (self->role)
    {
    case MQ_HOST_ENTRY:
      self->u.entry = mq_entry_create (ctx, ev, settings, stop, self, error);
      return self->u.entry != NULL;
    case MQ_HOST_TARGET:
      break;
    }
  self->u.target = mq_target_create (ctx, ev, settings, stop, self, error);
  return self->u.target != NULL;
}

static void
drain (struct daemon *self)
{
  switch (self->role)
    {
    case MQ_HOST_ENTRY:
      mq_entry_drain (self->u.entry);
      break;
    case MQ_HOST_TARGET:
      mq_target_drain (self->u.target);
      break;
    }
}

static void
end_drain (struct daemon *self)
{
  switch (self->role)
    {
    case MQ_HOST_ENTRY:
      mq_entry_end_drain (self->u.entry);
      break;
    case MQ_HOST_TARGET:
      mq_target_end_drain (self->u.target);
      break;
    }
}

static void
destroy (struct daemon *self)
{
  switch (self->role)
    {
    case MQ_HOST_ENTRY:
      mq_entry_destroy (self->u.entry);
      break;
    case MQ_HOST_TARGET:
      mq_target_destroy (self->u.target);
      break;
    }
}

static void
log_addresses (const struct daemon *self)
{
  switch (self->role)
    {
    case MQ_HOST_ENTRY:
      mq_log_listening (mq_entry_http_address (self->u.entry),
                        mq_entry_peer_address (self->u.entry));
      break;
    case MQ_HOST_TARGET:
      mq_log_listening (mq_target_http_address (self->u.target),
                        mq_target_peer_address (self->u.target));
      break;
    }
}

static void
on_signal (struct tevent_context *ev, struct tevent_signal *signal_event,
           int number, int count, void *info, void *data)
{
  struct daemon *self = data;
  bool again = self->draining || count > 1;

  (void)ev;
  (void)signal_event;
  (void)number;
  (void)info;
  self->draining = true;
  drain (self);
  if (again)
    end_drain (self);
}

static struct mq_settings *
read_settings (TALLOC_CTX *ctx, const struct daemon *self)
{
  struct mq_text_errors errors = { 0 };
  struct mq_settings *settings
      = mq_settings_read (ctx, self->role, self->file, &errors);

  for (size_t i = 0; settings == NULL && i < errors.count; i++)
    mq_log_failure (MQ_LOG_SETTINGS_REFUSED, &errors.items[i]);
  return settings;
}

static bool
start (struct daemon *self, TALLOC_CTX *ctx, struct tevent_context *ev)
{
  struct mq_settings *settings = read_settings (ctx, self);
  struct mq_error error = { 0 };

  if (settings == NULL)
    return false;
  mq_log_open (program_name (self->role), settings->host);
  if (tevent_add_signal (ev, ctx, SIGTERM, 0, on_signal, self) == NULL
      || tevent_add_signal (ev, ctx, SIGINT, 0, on_signal, self) == NULL)
    return false;
  if (!create (self, ctx, ev, settings, &error))
    {
      mq_log_failure (MQ_LOG_START_FAILED, &error);
      return false;
    }
  log_addresses (self);
  return true;
}

int
mq_daemon_run (enum mq_host_role role, int argc, char **argv)
{
  struct daemon self = { .role = role };
  TALLOC_CTX *ctx;
  struct tevent_context *ev;
  int status = EXIT_FAILURE;

  parse_command_line (&self, argc, argv);
  signal (SIGPIPE, SIG_IGN);
  /* Settings are read only at the start.  */
  signal (SIGHUP, SIG_IGN);
  ctx = talloc_new (NULL);
  ev = tevent_context_init (ctx);
  mq_log_open (program_name (role), "");
  if (ev != NULL && start (&self, ctx, ev))
    {
      while (!self.stopped && tevent_loop_once (ev) == 0)
        ;
      destroy (&self);
      status = EXIT_SUCCESS;
    }
  talloc_free (ctx);
  return status;
}
