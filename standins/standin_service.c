/* standin_service.c - process that serves the workers of a stand-in service.

   Needs: service_server.h, argp.  */

#include "service_server.h"
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum
{
  LISTEN_MAX = 256,
  NS_PER_S = 1000000000
};

enum long_key
{
  KEY_DELAY = 256,
  KEY_CONCURRENCY
};

struct settings
{
  struct mq_service_options options;
  const char *listen[LISTEN_MAX];
};

static const struct argp_option keys[]
    = { { "listen", 'l', "IP:PORT", 0,
          "Address of a worker; port 0 selects a free port; repeatable", 0 },
        { "name", 'n', "NAME", 0, "Name of the service", 0 },
        { "honour-keys", 'k', NULL, 0,
          "Answer duplicates of an Idempotency-Key without executing them",
          0 },
        { "delay-ms", KEY_DELAY, "N", 0, "Duration of each call", 0 },
        { "concurrency", KEY_CONCURRENCY, "N", 0,
          "Concurrent calls per worker; others are queued", 0 },
        { 0 } };

static uint32_t
read_number (const char *argument, struct argp_state *state)
{
  char *end;
  unsigned long number = strtoul (argument, &end, 10);

  if (end == argument || *end != '\0' || number > UINT32_MAX)
    argp_error (state, "%s is not a number", argument);
  return (uint32_t)number;
}

static void
add_listen (struct settings *settings, const char *address,
            struct argp_state *state)
{
  if (settings->options.listen_count == LISTEN_MAX)
    argp_error (state, "more than %d workers", LISTEN_MAX);
  settings->listen[settings->options.listen_count++] = address;
}

static error_t
parse_key (int key, char *argument, struct argp_state *state)
{
  struct settings *settings = state->input;

  switch (key)
    {
    case 'l':
      add_listen (settings, argument, state);
      return 0;
    case 'n':
      settings->options.name = argument;
      return 0;
    case 'k':
      settings->options.honour_keys = true;
      return 0;
    case KEY_DELAY:
      settings->options.delay_ms = read_number (argument, state);
      return 0;
    case KEY_CONCURRENCY:
      settings->options.concurrency = read_number (argument, state);
      return 0;
    case ARGP_KEY_END:
      if (settings->options.listen_count == 0)
        add_listen (settings, "127.0.0.1:0", state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp
    = { .options = keys,
        .parser = parse_key,
        .doc = "Stand-in for the workers of a plain service or tool." };

static uint64_t
boot_number (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

static void
print_addresses (const struct mq_service_server *server, size_t count)
{
  for (size_t i = 0; i < count; i++)
    printf ("listening 127.0.0.1:%u\n", mq_service_server_port (server, i));
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  struct settings settings = { .options = { .name = "service" } };
  TALLOC_CTX *top = talloc_new (NULL);
  struct tevent_context *ev = tevent_context_init (top);
  struct mq_service_server *server;
  struct mq_error error;

  argp_parse (&argp, argc, argv, 0, NULL, &settings);
  signal (SIGPIPE, SIG_IGN);
  settings.options.listen = settings.listen;
  settings.options.boot = boot_number ();
  server = mq_service_server_create (top, ev, &settings.options, &error);
  if (server == NULL)
    {
      fprintf (stderr, "standin-service: %s: %s\n", mq_error_name (error.type),
               error.subject);
      return EXIT_FAILURE;
    }
  print_addresses (server, settings.options.listen_count);
  tevent_loop_wait (ev);
  mq_service_server_destroy (server);
  talloc_free (top);
  return EXIT_SUCCESS;
}
