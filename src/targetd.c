/* targetd.c - the process on a target host: mimosa-targetd.

   Reads its settings, runs struct mq_target in one event loop, and stops as
   planned on SIGTERM or SIGINT; a second signal cuts what is in progress.
   Needs: argp, tevent, target.h.  */

#include "io/target.h"
#include "io/log.h"
#include <argp.h>
#include <mimosaquay.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

const char *argp_program_version
    = "mimosa-targetd " MIMOSAQUAY_VERSION " (mimosaquay)";

struct daemon
{
  const char *file;
  struct mq_target *target;
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
    mq_target_stop (self->target);
}

static struct mq_settings *
read_settings (TALLOC_CTX *ctx, const char *file)
{
  struct mq_text_errors errors = { 0 };
  struct mq_settings *settings
      = mq_settings_read (ctx, MQ_HOST_TARGET, file, &errors);

  for (size_t i = 0; settings == NULL && i < errors.count; i++)
    mq_log_failure ("settings", &errors.items[i]);
  return settings;
}

static bool
start (struct daemon *self, TALLOC_CTX *ctx, struct tevent_context *ev)
{
  struct mq_settings *settings = read_settings (ctx, self->file);
  struct mq_error error = { 0 };

  if (settings == NULL)
    return false;
  mq_log_open ("mimosa-targetd", settings->host, MQ_LOG_INFO);
  if (tevent_add_signal (ev, ctx, SIGTERM, 0, on_signal, self) == NULL
      || tevent_add_signal (ev, ctx, SIGINT, 0, on_signal, self) == NULL)
    return false;
  self->target = mq_target_create (ctx, ev, settings, stop, self, &error);
  if (self->target == NULL)
    {
      mq_log_failure ("start", &error);
      return false;
    }
  printf ("listening peer=%s http=%s\n", mq_target_peer_address (self->target),
          mq_target_http_address (self->target));
  fflush (stdout);
  return true;
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[]
      = { { "settings", 's', "FILE", 0, "settings of this process", 0 },
          { 0 } };
  static const struct argp argp
      = { options, parse_option,
          NULL,    "Stands before the workers of a target host of mimosaquay.",
          NULL,    NULL,
          NULL };
  struct daemon self = { 0 };
  TALLOC_CTX *ctx;
  struct tevent_context *ev;
  int status = EXIT_FAILURE;

  argp_parse (&argp, argc, argv, 0, NULL, &self);
  signal (SIGPIPE, SIG_IGN);
  ctx = talloc_new (NULL);
  ev = tevent_context_init (ctx);
  mq_log_open ("mimosa-targetd", "", MQ_LOG_INFO);
  if (ev != NULL && start (&self, ctx, ev))
    {
      while (!self.stopped && tevent_loop_once (ev) == 0)
        ;
      mq_target_destroy (self.target);
      status = EXIT_SUCCESS;
    }
  talloc_free (ctx);
  return status;
}
