/* standin_platform.c - process that serves the stand-in platform.

   Needs: platform_server.h, argp.  */

#include "core/error.h"
#include "platform_server.h"
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct options
{
  const char *listen;
  const char *hosts;
};

static const struct argp_option keys[]
    = { { "listen", 'l', "IP:PORT", 0,
          "Address of the HTTP server; port 0 selects a free port", 0 },
        { "hosts", 'h', "FILE", 0, "JSON file with the initial host list", 0 },
        { 0 } };

static error_t
parse_key (int key, char *argument, struct argp_state *state)
{
  struct options *options = state->input;

  switch (key)
    {
    case 'l':
      options->listen = argument;
      return 0;
    case 'h':
      options->hosts = argument;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp
    = { .options = keys,
        .parser = parse_key,
        .doc = "Stand-in for the platform: table, object store, host list "
               "and weight store in memory." };

static char *
read_file (TALLOC_CTX *ctx, const char *name, size_t *len)
{
  enum
  {
    STEP = 65536
  };
  FILE *file = fopen (name, "re");
  char *text = NULL;
  size_t got = 0;

  *len = 0;
  if (file == NULL)
    return NULL;
  do
    {
      *len += got;
      text = talloc_realloc (ctx, text, char, *len + STEP);
      got = text == NULL ? 0 : fread (text + *len, 1, STEP, file);
    }
  while (got > 0);
  fclose (file);
  return text;
}

static int
fail (const char *what, const char *subject)
{
  fprintf (stderr, "standin-platform: %s: %s\n", what, subject);
  return EXIT_FAILURE;
}

static bool
load_hosts (struct mq_platform_server *server, const char *name)
{
  size_t len;
  char *text = read_file (NULL, name, &len);
  bool good
      = text != NULL && mq_platform_server_load_hosts (server, text, len);

  talloc_free (text);
  return good;
}

int
main (int argc, char **argv)
{
  struct options options = { .listen = "127.0.0.1:0" };
  TALLOC_CTX *top = talloc_new (NULL);
  struct tevent_context *ev = tevent_context_init (top);
  struct mq_platform_server *server;
  struct mq_error error;

  argp_parse (&argp, argc, argv, 0, NULL, &options);
  signal (SIGPIPE, SIG_IGN);
  server = mq_platform_server_create (top, ev, options.listen, &error);
  if (server == NULL)
    return fail (mq_error_name (error.type), options.listen);
  if (options.hosts != NULL && !load_hosts (server, options.hosts))
    return fail ("invalid or unreadable host list", options.hosts);
  printf ("listening 127.0.0.1:%u\n", mq_platform_server_port (server));
  fflush (stdout);
  tevent_loop_wait (ev);
  mq_platform_server_destroy (server);
  talloc_free (top);
  return EXIT_SUCCESS;
}
