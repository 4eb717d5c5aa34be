/* mimosactl.c - the operators' command line tool.

   Parses the options; the commands are in src/ctl/ctl_*.c.
   Needs: ctl_run.h, argp.  */

#include "ctl/ctl_run.h"
#include <argp.h>
#include <mimosaquay.h>
#include <stdlib.h>
#include <string.h>

#define WAIT_SECONDS_DEFAULT 30U
#define WAIT_SECONDS_MAX 86400UL

const char *argp_program_version
    = "mimosactl " MIMOSAQUAY_VERSION " (mimosaquay)";

struct command
{
  const char *name;
  bool has_argument;
  enum mq_ctl_exit (*run) (const struct mq_ctl_run *run, const char *argument);
};

static const struct command commands[] = {
  { "check", true, mq_ctl_check },        { "keys", false, mq_ctl_keys },
  { "show", false, mq_ctl_show },         { "diff", true, mq_ctl_diff },
  { "apply", true, mq_ctl_apply },        { "status", false, mq_ctl_status },
  { "trace", true, mq_ctl_trace },        { "drain", true, mq_ctl_drain },
  { "hash-key", false, mq_ctl_hash_key }, { "explain", true, mq_ctl_explain },
  { "routers", true, mq_ctl_routers },    { "load", true, mq_ctl_load },
};

enum option_key
{
  OPTION_PLATFORM = 'p',
  OPTION_KEY_FILE = 'k',
  OPTION_FORMAT = 'f',
  OPTION_BASE = 'b',
  OPTION_WAIT = 'w',
  OPTION_SETTINGS = 's'
};

static const struct argp_option options[]
    = { { "platform", OPTION_PLATFORM, "URL", 0,
          "The platform, http://IP:PORT; default: $MIMOSA_PLATFORM", 0 },
        { "operator-key-file", OPTION_KEY_FILE, "FILE", 0,
          "File with the operators' key, for status, trace, drain and apply; "
          "default: $MIMOSA_OPERATOR_KEY_FILE",
          0 },
        { "format", OPTION_FORMAT, "text|json", 0, "Format of the results",
          0 },
        { "base", OPTION_BASE, "VERSION", 0,
          "apply: the version that the new text is meant to replace", 0 },
        { "wait", OPTION_WAIT, "SECONDS", 0,
          "apply: wait this long for all hosts to hold the version; 0: don't "
          "(default 30)",
          0 },
        { "settings", OPTION_SETTINGS, "entryd|targetd|routerd", 0,
          "check: FILE holds the settings of this process", 0 },
        { 0 } };

static const char usage[]
    = "check FILE\nkeys\nshow\ndiff FILE\napply FILE --base VERSION\nstatus\n"
      "trace PROGRAM_ID\ndrain HOST\nhash-key\nexplain ID\n"
      "routers ADDRESSES\nload ADDRESSES";

static const char doc[]
    = "Checks, changes and shows the configuration of a mimosaquay site, and "
      "shows what its hosts do.\v"
      "  check     name every error of an operators' text\n"
      "  keys      list every key of texts and settings\n"
      "  show      print the version and the text in force\n"
      "  diff      show what FILE would change, and the effects\n"
      "  apply     put FILE in force in place of version --base, then wait\n"
      "            until every host holds it\n"
      "  status    show hosts, partitions and their owners, calls whose\n"
      "            effect is unknown, cache of ended programs, the measures\n"
      "  trace     draw the spans of a program from every host\n"
      "  drain     tell a host to finish its work and leave\n"
      "  hash-key  read a key on standard input, print its SHA-256\n"
      "  explain   read the routers' logs on standard input, print the\n"
      "            timeline of the request or program ID\n"
      "  routers   show the state of routers, queried at their readiness\n"
      "            addresses, IP:PORT,IP:PORT,…\n"
      "  load      show over all these routers what is full, which\n"
      "            organisations ask for most and which workers are left out\n"
      "\n"
      "FILE may be - for standard input.  Exit status: 0 done; 1 failed, or "
      "something can't be reached or does not yet hold the version; 2 an "
      "error in the command line or a file; 3 another operator changed the "
      "configuration first.";

struct command_line
{
  struct mq_ctl_run run;
  const struct command *command;
  const char *argument;
};

static unsigned long long
parse_number (struct argp_state *state, const char *name, const char *text,
              unsigned long long max)
{
  char *end;
  unsigned long long number = strtoull (text, &end, 10);

  if (text[strspn (text, "0123456789")] != '\0' || *text == '\0'
      || number > max)
    argp_error (state, "%s: %s is not a number up to %llu", name, text, max);
  return number;
}

static void
parse_format (struct command_line *line, struct argp_state *state,
              const char *text)
{
  line->run.json = strcmp (text, "json") == 0;
  if (!line->run.json && strcmp (text, "text") != 0)
    argp_error (state, "--format: %s is neither text nor json", text);
}

static void
parse_settings (struct command_line *line, struct argp_state *state,
                const char *text)
{
  line->run.settings = true;
  line->run.router = strcmp (text, "routerd") == 0;
  line->run.role
      = strcmp (text, "targetd") == 0 ? MQ_HOST_TARGET : MQ_HOST_ENTRY;
  if (!line->run.router && line->run.role == MQ_HOST_ENTRY
      && strcmp (text, "entryd") != 0)
    argp_error (state, "--settings: %s is none of entryd, targetd and routerd",
                text);
}

static void
parse_argument (struct command_line *line, struct argp_state *state,
                const char *text)
{
  if (line->command != NULL)
    {
      if (!line->command->has_argument || line->argument != NULL)
        argp_error (state, "%s: unexpected argument %s", line->command->name,
                    text);
      line->argument = text;
      return;
    }
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    if (strcmp (commands[i].name, text) == 0)
      line->command = &commands[i];
  if (line->command == NULL)
    argp_error (state, "unknown command %s", text);
}

static error_t
parse_key (int key, char *text, struct argp_state *state)
{
  struct command_line *line = state->input;

  switch (key)
    {
    case OPTION_PLATFORM:
      line->run.platform = text;
      return 0;
    case OPTION_KEY_FILE:
      line->run.operator_key_file = text;
      return 0;
    case OPTION_FORMAT:
      parse_format (line, state, text);
      return 0;
    case OPTION_BASE:
      line->run.base
          = parse_number (state, "--base", text, MQ_CTL_NO_BASE - 2);
      return 0;
    case OPTION_WAIT:
      line->run.wait_seconds
          = (uint32_t)parse_number (state, "--wait", text, WAIT_SECONDS_MAX);
      return 0;
    case OPTION_SETTINGS:
      parse_settings (line, state, text);
      return 0;
    case ARGP_KEY_ARG:
      parse_argument (line, state, text);
      return 0;
    case ARGP_KEY_END:
      if (line->command == NULL)
        argp_error (state, "a command is needed");
      else if (line->command->has_argument && line->argument == NULL)
        argp_error (state, "%s: its argument is missing", line->command->name);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = {
  .options = options, .parser = parse_key, .args_doc = usage, .doc = doc
};

int
main (int argc, char **argv)
{
  struct command_line line
      = { .run
          = { .out = stdout,
              .err = stderr,
              .base = MQ_CTL_NO_BASE,
              .wait_seconds = WAIT_SECONDS_DEFAULT,
              .platform = getenv ("MIMOSA_PLATFORM"),
              .operator_key_file = getenv ("MIMOSA_OPERATOR_KEY_FILE") } };
  enum mq_ctl_exit code;

  argp_err_exit_status = MQ_CTL_BAD_INPUT;
  argp_parse (&argp, argc, argv, 0, NULL, &line);
  line.run.ctx = talloc_new (NULL);
  code = line.command->run (&line.run, line.argument);
  talloc_free (line.run.ctx);
  if (fflush (stdout) != 0 && code == MQ_CTL_OK)
    code = MQ_CTL_FAILED;
  return code;
}
