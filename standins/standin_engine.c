/* standin_engine.c - process that serves one or more stand-in model engines.

   Prints "listening IP:PORT" for each, in the order of the command line.
   Needs: engine_server.h, argp, tevent.  */

#include "engine_server.h"
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  ENGINES_MAX = 1024
};

/* Leaves room for restarts, so that boot numbers of two runs differ.  */
#define BOOT_STEP 1000ULL

enum option_key
{
  KEY_LISTEN = 'l',
  KEY_MODEL = 'm',
  KEY_SLOTS = 's',
  KEY_TIME_SCALE = 256,
  KEY_CACHE_TOKENS,
  KEY_CHECK_FENCE,
  KEY_SEED
};

struct arguments
{
  const char *listen[ENGINES_MAX];
  size_t listen_count;
  const char *model;
  struct mq_engine_params params;
};

static const struct argp_option options[]
    = { { "listen", KEY_LISTEN, "IP:PORT", 0,
          "address of an engine; repeatable", 0 },
        { "model", KEY_MODEL, "NAME", 0, "served model", 0 },
        { "slots", KEY_SLOTS, "N", 0, "maximum concurrent sequences", 0 },
        { "time-scale", KEY_TIME_SCALE, "X", 0, "multiplies every duration",
          0 },
        { "cache-tokens", KEY_CACHE_TOKENS, "N", 0,
          "cache size of each engine in tokens", 0 },
        { "check-fence", KEY_CHECK_FENCE, NULL, 0,
          "reject orders with a stale fencing number", 0 },
        { "seed", KEY_SEED, "N", 0, "seed of the gaps in cache events", 0 },
        { 0 } };

static uint32_t
parse_count (const char *text, struct argp_state *state)
{
  char *end;
  unsigned long value = strtoul (text, &end, 10);

  if (*text == '\0' || *end != '\0' || value == 0 || value > UINT32_MAX)
    argp_error (state, "expected a positive integer, got '%s'", text);
  return (uint32_t)value;
}

static double
parse_scale (const char *text, struct argp_state *state)
{
  char *end;
  double value = strtod (text, &end);

  if (*text == '\0' || *end != '\0' || !(value > 0))
    argp_error (state, "expected a number above 0, got '%s'", text);
  return value;
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case KEY_LISTEN:
      if (arguments->listen_count == ENGINES_MAX)
        argp_error (state, "at most %d engines", ENGINES_MAX);
      arguments->listen[arguments->listen_count++] = text;
      return 0;
    case KEY_MODEL:
      arguments->model = text;
      return 0;
    case KEY_SLOTS:
      arguments->params.slots = parse_count (text, state);
      return 0;
    case KEY_TIME_SCALE:
      arguments->params.time_scale = parse_scale (text, state);
      return 0;
    case KEY_CACHE_TOKENS:
      arguments->params.cache_tokens = parse_count (text, state);
      return 0;
    case KEY_CHECK_FENCE:
      arguments->params.check_fence = true;
      return 0;
    case KEY_SEED:
      arguments->params.seed = parse_count (text, state);
      return 0;
    case ARGP_KEY_END:
      if (arguments->listen_count == 0 || arguments->model == NULL)
        argp_error (state, "--listen and --model are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static uint64_t
first_boot (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return ((uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000)
         * BOOT_STEP;
}

static bool
start_engine (TALLOC_CTX *ctx, struct tevent_context *ev,
              const struct arguments *arguments, size_t i)
{
  struct mq_engine_server_options engine = { 0 };
  struct mq_engine_server *server;
  struct mq_error error;
  const char *address = arguments->listen[i];
  int ip_len = (int)(strrchr (address, ':') == NULL
                         ? strlen (address)
                         : (size_t)(strrchr (address, ':') - address));

  engine.address = address;
  engine.model = arguments->model;
  engine.boot = first_boot ();
  engine.params = arguments->params;
  engine.params.seed += i;
  server = mq_engine_server_create (ctx, ev, &engine, &error);
  if (server == NULL)
    {
      fprintf (stderr, "standin-engine: %s: %s\n", address,
               mq_error_cause (error.type));
      return false;
    }
  printf ("listening %.*s:%u\n", ip_len, address,
          mq_engine_server_port (server));
  fflush (stdout);
  return true;
}

static void
stop (struct tevent_context *ev, struct tevent_signal *signal_event,
      int number, int count, void *info, void *data)
{
  bool *stopped = data;

  (void)ev;
  (void)signal_event;
  (void)number;
  (void)count;
  (void)info;
  *stopped = true;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL, "Stand-in model engines.",
          NULL,    NULL,         NULL };
  struct arguments arguments = { 0 };
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct tevent_context *ev = tevent_context_init (ctx);
  bool stopped = false;

  mq_engine_params_default (&arguments.params);
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  signal (SIGPIPE, SIG_IGN);
  tevent_add_signal (ev, ctx, SIGTERM, 0, stop, &stopped);
  tevent_add_signal (ev, ctx, SIGINT, 0, stop, &stopped);
  for (size_t i = 0; i < arguments.listen_count; i++)
    if (!start_engine (ctx, ev, &arguments, i))
      return EXIT_FAILURE;
  while (!stopped)
    tevent_loop_once (ev);
  talloc_free (ctx);
  return EXIT_SUCCESS;
}
