/* test_text_diff.c - differences between two configuration texts.

   Needs: text_diff.h, text_fixture.h, jansson, Criterion.  */

#include "core/text/text_diff.h"
#include "text_fixture.h"
#include <criterion/criterion.h>
#include <jansson.h>
#include <string.h>

#define KEY(digit)                                                            \
  "key_sha256 = " digit "000000000000000000000000000000000000000000000000000" \
  "000000000000\n"
#define AGENT FIXTURE_MODEL "[service a]\nkind = agent\ndepends = m\n"
#define TOOL                                                                  \
  "[service t]\nkind = tool\npath = /t\nidempotent = no\ntimeout_ms = 50\n"
#define PLAIN "[service p]\nkind = plain\n"
#define ROUTE(yes_no) "[route p.r]\npath = /r\nidempotent = " yes_no "\n"
#define COUNT(array) (sizeof (array) / sizeof (array)[0])
#define CHANGES_MAX 3

struct expected
{
  const char *line; /* first line of the change */
  const char *effect;
};

struct diff_case
{
  const char *before; /* sections after [site]; NULL if no configuration */
  const char *after;
  struct expected changes[CHANGES_MAX];
  bool refused;
};

static const struct diff_case cases[] = {
  { AGENT, AGENT, { { 0 } }, false },
  { NULL, "", { { "+ [site]", "first text" } }, false },
  /* Order, comments and explicit defaults are not differences.  */
  { AGENT TOOL,
    TOOL "; c\n" AGENT "priority = interactive\n",
    { { 0 } },
    false },
  { "",
    "[organisation o]\n" KEY ("1"),
    { { "+ [organisation o]", "accepted" } },
    false },
  { "[organisation o]\n" KEY ("1"),
    "",
    { { "- [organisation o]", "refused from now on" } },
    false },
  { "[organisation o]\n" KEY ("1"),
    "[organisation o]\nweight = 7\n" KEY ("1"),
    { { "~ [organisation o] weight: 1 -> 7", "applies to new calls" } },
    false },
  { "",
    AGENT,
    { { "+ [service m]", "target that serves it" },
      { "+ [service a]", "may be opened" } },
    false },
  { AGENT, FIXTURE_MODEL, { { "- [service a]", "no program of it" } }, false },
  { TOOL, "", { { "- [service t]", "calls to it are refused" } }, false },
  { "", TOOL, { { "+ [service t]", "at most once" } }, false },
  { AGENT TOOL,
    FIXTURE_MODEL TOOL "[service a]\nkind = agent\n"
                       "depends = m, t\npriority = batch\n",
    { { "~ [service a] depends: m -> m, t", "removed" },
      { "~ [service a] priority: interactive -> batch", "calls" } },
    false },
  { AGENT "prompt = one\n",
    AGENT "prompt = one\nprompt = two\n",
    { { "~ [service a] prompt: one -> one\\ntwo", "common prefix" } },
    false },
  { FIXTURE_MODEL,
    "[service m]\nkind = tool\npath = /m\nidempotent = yes\n",
    { { "~ [service m] kind: model -> tool", "bad_answer" } },
    false },
  { PLAIN ROUTE ("no"),
    PLAIN ROUTE ("yes"),
    { { "~ [route p.r] idempotent: no -> yes", "the target must allow it" } },
    false },
  { PLAIN ROUTE ("yes"),
    PLAIN ROUTE ("no"),
    { { "~ [route p.r] idempotent: yes -> no", "at most once" } },
    false },
  { PLAIN ROUTE ("no"),
    PLAIN ROUTE ("no") "[route p.s]\npath = /s\nidempotent = no\n",
    { { "+ [route p.s]", "at most once" } },
    false },
  { PLAIN ROUTE ("no") "[route p.s]\npath = /s\nidempotent = no\n",
    PLAIN ROUTE ("no"),
    { { "- [route p.s]", "refused" } },
    false },
  { "lease_ms = 2000\n",
    "lease_ms = 3000\n",
    { { "~ [site] lease_ms: 2000 -> 3000", "taken over" } },
    false },
  { "partitions = 8\n",
    "partitions = 16\n",
    { { "~ [site] partitions: 8 -> 16", "no longer be found" } },
    true },
};

static struct mq_text *
parse_case (TALLOC_CTX *ctx, const char *rest)
{
  if (rest == NULL)
    return NULL;
  return fixture_parse (ctx, talloc_asprintf (ctx, FIXTURE_SITE "%s", rest));
}

static char *
expected_text (TALLOC_CTX *ctx, const struct diff_case *expected, size_t i)
{
  return talloc_asprintf (ctx, "%s\n    ", expected->changes[i].line);
}

static size_t
expected_count (const struct diff_case *expected)
{
  size_t count = 0;

  while (count < CHANGES_MAX && expected->changes[count].line != NULL)
    count++;
  return count;
}

Test (text_diff, cases)
{
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct mq_text *before = parse_case (ctx, cases[i].before);
      struct mq_text *after = parse_case (ctx, cases[i].after);
      struct mq_text_diff *diff = mq_text_diff_create (ctx, before, after);
      char *text = mq_text_diff_text (ctx, diff);
      const char *at = text;

      cr_assert_eq (diff->count, expected_count (&cases[i]), "%zu: %s", i,
                    text);
      cr_expect_eq (mq_text_diff_refused (diff) != NULL, cases[i].refused,
                    "%zu", i);
      for (size_t j = 0; j < diff->count; j++)
        {
          at = strstr (at, expected_text (ctx, &cases[i], j));
          cr_assert_not_null (at, "%zu, change %zu: %s", i, j, text);
          cr_expect_not_null (
              strstr (diff->items[j].effect, cases[i].changes[j].effect),
              "%zu: %s", i, diff->items[j].effect);
        }
      if (diff->count == 0)
        cr_expect_str_eq (text, "no difference\n");
      talloc_free (ctx);
    }
}

Test (text_diff, json)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_text *before = parse_case (ctx, AGENT "prompt = \"one\"\n");
  struct mq_text *after = parse_case (ctx, AGENT "prompt = caf\xc3\xa9\n");
  struct mq_text_diff *diff = mq_text_diff_create (ctx, before, after);
  json_t *root = json_loads (mq_text_diff_json (ctx, diff), 0, NULL);
  const char *type, *section, *name, *key, *old, *now, *effect;
  int refused;

  cr_assert_eq (json_unpack (root, "{s[{ss ss ss ss ss ss ss sb}]}", "changes",
                             "type", &type, "section", &section, "name", &name,
                             "key", &key, "before", &old, "after", &now,
                             "effect", &effect, "refused", &refused),
                0);
  cr_expect_str_eq (type, "changed");
  cr_expect_str_eq (section, "service");
  cr_expect_str_eq (name, "a");
  cr_expect_str_eq (key, "prompt");
  cr_expect_str_eq (old, "\"one\"");
  cr_expect_str_eq (now, "caf\xc3\xa9");
  cr_expect_neq (effect[0], '\0');
  cr_expect_eq (refused, 0);
  json_decref (root);
  talloc_free (ctx);
}

/* Adding or removing a whole example must report each section.  */
Test (text_diff, examples)
{
  for (size_t i = 0; fixture_examples[i] != NULL; i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      size_t len;
      struct mq_text *text
          = fixture_parse (ctx, fixture_read (ctx, fixture_examples[i], &len));
      struct mq_text *site = parse_case (ctx, "");
      struct mq_text_diff *all = mq_text_diff_create (ctx, NULL, text);
      struct mq_text_diff *none = mq_text_diff_create (ctx, text, text);
      struct mq_text_diff *back = mq_text_diff_create (ctx, text, site);
      size_t sections = 1 + text->service_count + text->organisation_count;

      for (size_t j = 0; j < text->service_count; j++)
        sections += text->services[j].route_count;
      cr_expect_eq (all->count, sections, "%s", fixture_examples[i]);
      cr_expect_eq (none->count, 0, "%s", fixture_examples[i]);
      cr_expect_geq (back->count,
                     text->service_count + text->organisation_count, "%s",
                     fixture_examples[i]);
      talloc_free (ctx);
    }
}
