/* test_days.c - the scenario files cover every kind of fault.

   Needs: deploy/days/, tests/trouble_kinds.txt, Criterion.  */

#include <criterion/criterion.h>
#include <glob.h>
#include <regex.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES_MAX = 1024,
  WORD_MAX = 64,
  LINE_MAX_BYTES = 1024
};

/* Fault of a scenario: its kind and its variants, delimited by spaces.  */
struct entry
{
  char kind[WORD_MAX];
  char how[WORD_MAX * 2];
};

static struct entry entries[ENTRIES_MAX];
static size_t entry_count;

/* Copies the first group of PATTERN in LINE to VALUE; false if no match.  */
static bool
find_value (const char *line, const char *pattern, char *value, size_t size)
{
  regmatch_t found[2];
  regex_t compiled;
  bool there;

  cr_assert_eq (regcomp (&compiled, pattern, REG_EXTENDED), 0);
  there = regexec (&compiled, line, 2, found, 0) == 0;
  regfree (&compiled);
  if (there)
    snprintf (value, size, "%.*s", (int)(found[1].rm_eo - found[1].rm_so),
              line + found[1].rm_so);
  return there;
}

static void
read_line (const char *line)
{
  struct entry *entry = &entries[entry_count];
  char how[WORD_MAX] = "";

  if (!find_value (line, "kind = \"([a-z_]+)\"", entry->kind, WORD_MAX))
    return;
  find_value (line, "how = \"([a-z_ ]*)\"", how, sizeof how);
  snprintf (entry->how, sizeof entry->how, " %s ", how);
  cr_assert_lt (++entry_count, ENTRIES_MAX);
}

static void
read_days (void)
{
  char line[LINE_MAX_BYTES];
  glob_t days;

  cr_assert_eq (glob ("deploy/days/*.toml", 0, NULL, &days), 0);
  for (size_t i = 0; i < days.gl_pathc; i++)
    {
      FILE *file = fopen (days.gl_pathv[i], "r");

      cr_assert_not_null (file, "%s", days.gl_pathv[i]);
      while (fgets (line, sizeof line, file) != NULL)
        read_line (line);
      fclose (file);
    }
  globfree (&days);
}

/* Returns true if a scenario has KIND in variant HOW; NULL for any
   variant.  */
static bool
is_covered (const char *kind, const char *how)
{
  char word[WORD_MAX + 2];

  snprintf (word, sizeof word, " %s ", how == NULL ? "" : how);
  for (size_t i = 0; i < entry_count; i++)
    if (strcmp (entries[i].kind, kind) == 0
        && (how == NULL || strstr (entries[i].how, word) != NULL))
      return true;
  return false;
}

/* A kind or variant without a scenario would first occur in production.  */
Test (days, every_kind_of_trouble_has_one)
{
  FILE *kinds = fopen ("tests/trouble_kinds.txt", "r");
  char line[LINE_MAX_BYTES];

  cr_assert_not_null (kinds);
  read_days ();
  while (fgets (line, sizeof line, kinds) != NULL)
    {
      char *rest = NULL;
      const char *kind = strtok_r (line, " \n", &rest);
      const char *how;

      if (kind == NULL || kind[0] == '#')
        continue;
      cr_expect (is_covered (kind, NULL), "%s", kind);
      while ((how = strtok_r (NULL, " \n", &rest)) != NULL)
        cr_expect (is_covered (kind, how), "%s %s", kind, how);
    }
  fclose (kinds);
}
