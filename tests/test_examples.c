/* test_examples.c - the example programs, --version and the installed library.

   Needs: the built examples, tests/install.sh, Criterion.  */

#include <criterion/criterion.h>
#include <mimosaquay.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  OUTPUT_BYTES = 4096,
  LINES_MAX = 6
};

static const char *
build_directory (void)
{
  const char *build = getenv ("BUILD");

  return build == NULL ? "build" : build;
}

/* Runs a shell command, captures its standard output and returns its
   status.  */
static int
run (const char *command, char output[OUTPUT_BYTES])
{
  FILE *pipe = popen (command, "r");
  size_t len;

  cr_assert_not_null (pipe);
  len = fread (output, 1, OUTPUT_BYTES - 1, pipe);
  output[len] = '\0';
  return pclose (pipe);
}

struct example
{
  const char *name;
  const char *lines[LINES_MAX]; /* must occur in the output in this order */
};

static const struct example examples[] = {
  { "check_text",
    { "6:19: text_unknown_name: ledgre", "did you mean ledger?",
      "11:14: text_bad_value: max_tokens = many", "1..1000000" } },
  { "place_call",
    { "a new prompt of 4000 tokens: idle\n",
      "3900 of them cached at the busy one: busy\n",
      "every worker to be avoided: -1\n" } },
  { "derive_id",
    { "first        ceef05669a7091aa2078b1df9a1d6694 partition 4\n",
      "again        ceef05669a7091aa2078b1df9a1d6694 partition 4\n",
      "sub-program  ceef05669a7091aa", " partition 4\n", "other key" } },
  { "drive_gate",
    { "call: start at ledger\n", "the same call:\n",
      "target answered: outcome ok\n", "the same call: outcome ok\n",
      "call of an old owner: outcome stale_fence\n" } },
  { "spread_text",
    { "version 3 comes to a:\n", "b connects to a:\n", "config_get\n",
      "config_text\n", "a holds 3, b holds 3\n" } },
};

Test (examples, each_prints_what_it_shows)
{
  for (size_t i = 0; i < sizeof examples / sizeof examples[0]; i++)
    {
      char output[OUTPUT_BYTES];
      char command[256];
      const char *at = output;

      snprintf (command, sizeof command, "%s/examples/%s", build_directory (),
                examples[i].name);
      cr_expect_eq (run (command, output), 0, "%s", command);
      for (size_t j = 0; j < LINES_MAX && examples[i].lines[j] != NULL; j++)
        {
          const char *found = strstr (at, examples[i].lines[j]);

          cr_assert_not_null (found, "%s: no \"%s\" in:\n%s", command,
                              examples[i].lines[j], output);
          at = found + strlen (examples[i].lines[j]);
        }
    }
}

Test (examples, none_is_left_out)
{
  char output[OUTPUT_BYTES];
  size_t count = 0;

  cr_assert_eq (run ("ls examples/*.c", output), 0);
  for (const char *at = output; (at = strstr (at, ".c\n")) != NULL; at++)
    count++;
  cr_expect_eq (count, sizeof examples / sizeof examples[0]);
}

struct program
{
  const char *name;
};

static const struct program programs[]
    = { { "mimosa-entryd" }, { "mimosa-targetd" }, { "mimosactl" } };

Test (examples, programs_tell_the_version)
{
  for (size_t i = 0; i < sizeof programs / sizeof programs[0]; i++)
    {
      char output[OUTPUT_BYTES];
      char want[OUTPUT_BYTES];
      char command[256];

      snprintf (command, sizeof command, "%s/bin/%s --version",
                build_directory (), programs[i].name);
      snprintf (want, sizeof want, "%s %s (mimosaquay)\n", programs[i].name,
                MIMOSAQUAY_VERSION);
      cr_expect_eq (run (command, output), 0);
      cr_expect_str_eq (output, want);
    }
}

/* An external program must compile and link after "make install".  */
Test (examples, installed_library_links)
{
  char output[OUTPUT_BYTES];

  cr_expect_eq (run ("sh tests/install.sh 2>&1", output), 0, "%s", output);
  cr_expect_str_eq (output, "2\n");
}
