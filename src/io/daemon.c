/* daemon.c - the life of a process: settings, event loop, planned stop.

   Needs: daemon.h, log.h, argp.  */

#include "daemon.h"
#include "log.h"
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

struct daemon
{
  const struct mq_daemon_type *type;
  const char *file;
  void *inside;
  bool leaving;
  bool stopped;
};

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

static void
stop (void *user)
{
  struct daemon *self = user;

  self->stopped = true;
}

static void
on_signal (struct tevent_context *ev, struct tevent_signal *signal_event,
           int number, int count, void *info, void *data)
{
  struct daemon *self = data;

  (void)ev;
  (void)signal_event;
  (void)number;
  (void)info;
  if (self->leaving || count > 1)
    self->stopped = true;
  self->leaving = true;
  if (!self->stopped)
    self->type->stop (self->inside);
}

static struct mq_settings *
read_settings (TALLOC_CTX *ctx, enum mq_host_role role, const char *file)
{
  struct mq_text_errors errors = { 0 };
  struct mq_settings *settings = mq_settings_read (ctx, role, file, &errors);

  for (size_t i = 0; settings == NULL && i < errors.count; i++)
    mq_log_failure ("settings", &errors.items[i]);
  return settings;
}

static bool
start (struct daemon *self, TALLOC_CTX *ctx, struct tevent_context *ev)
{
  struct mq_settings *settings
      = read_settings (ctx, self->type->role, self->file);
  struct mq_error error = { 0 };

  if (settings == NULL)
    return false;
  mq_log_open (self->type->name, settings->host, MQ_LOG_INFO);
  if (tevent_add_signal (ev, ctx, SIGTERM, 0, on_signal, self) == NULL
      || tevent_add_signal (ev, ctx, SIGINT, 0, on_signal, self) == NULL)
    return false;
  self->inside = self->type->create (ctx, ev, settings, stop, self, &error);
  if (self->inside == NULL)
    {
      mq_log_failure ("start", &error);
      return false;
    }
  self->type->announce (self->inside);
  fflush (stdout);
  return true;
}

int
mq_daemon_main (const struct mq_daemon_type *type, int argc, char **argv)
{
  static const struct argp_option options[]
      = { { "settings", 's', "FILE", 0, "settings of this process", 0 },
          { 0 } };
  const struct argp argp
      = { options, parse_option, NULL, type->doc, NULL, NULL, NULL };
  struct daemon self = { .type = type };
  TALLOC_CTX *ctx;
  struct tevent_context *ev;
  int status = EXIT_FAILURE;

  argp_parse (&argp, argc, argv, 0, NULL, &self);
  signal (SIGPIPE, SIG_IGN);
  ctx = talloc_new (NULL);
  ev = tevent_context_init (ctx);
  mq_log_open (type->name, "", MQ_LOG_INFO);
  if (ev != NULL && start (&self, ctx, ev))
    {
      while (!self.stopped && tevent_loop_once (ev) == 0)
        ;
      type->destroy (self.inside);
      status = EXIT_SUCCESS;
    }
  talloc_free (ctx);
  return status;
}
