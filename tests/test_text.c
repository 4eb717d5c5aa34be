/* test_text.c - parsing and validation of the configuration text.

   Needs: text.h, text_fixture.h, Criterion.  */

#include "text_fixture.h"
#include "core/id.h"
#include "core/limits.h"
#include "core/text/text_hint.h"
#include "core/text/text_keys.h"
#include <criterion/criterion.h>
#include <string.h>

#define KEY_A                                                                 \
  "key_sha256 = "                                                             \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n"

struct expected
{
  uint32_t line;
  uint32_t column;
  enum mq_error_type type;
  const char *subject;
  const char *allowed; /* substring, NULL for any */
};

#define EXPECTED_MAX 6

/* An invalid text and all errors expected, in line order.  */
struct bad_text
{
  const char *name;
  const char *source;
  struct expected errors[EXPECTED_MAX];
};

static const struct bad_text bad_texts[] = {
  { "empty", "", { { 1, 1, MQ_ERR_TEXT_MISSING, "[site]", "exactly one" } } },
  { "no site name",
    "\n[site]\n",
    { { 2, 2, MQ_ERR_TEXT_MISSING, "name of [site]", "letters" } } },
  { "key before any section",
    "name = s\n" FIXTURE_SITE,
    { { 1, 1, MQ_ERR_TEXT_SYNTAX, "key outside a section",
        "before the first key" } } },
  { "no equals sign",
    FIXTURE_SITE "  lease_ms 5\n",
    { { 3, 3, MQ_ERR_TEXT_SYNTAX, "missing '='", "KEY = VALUE" } } },
  { "two bad lines are both named",
    FIXTURE_SITE "one\n\n; comment\ntwo",
    { { 3, 1, MQ_ERR_TEXT_SYNTAX, "missing '='", NULL },
      { 6, 1, MQ_ERR_TEXT_SYNTAX, "missing '='", NULL } } },
  { "empty key",
    FIXTURE_SITE " = 3\n",
    { { 3, 2, MQ_ERR_TEXT_SYNTAX, "missing key before '='", NULL } } },
  { "bracket not closed",
    FIXTURE_SITE "[service x\nkind = nonsense\n",
    { { 3, 11, MQ_ERR_TEXT_SYNTAX, "missing ']'", "[TYPE NAME]" } } },
  { "text after the bracket",
    "[site] s\nname = s\n",
    { { 1, 7, MQ_ERR_TEXT_SYNTAX, "unexpected text after ']'", NULL } } },
  { "section without its name",
    FIXTURE_SITE "[service]\nkind = nonsense\n",
    { { 3, 2, MQ_ERR_TEXT_SYNTAX, "service", "[service NAME]" } } },
  { "name for a section that has none",
    "[site here]\nname = s\n",
    { { 1, 7, MQ_ERR_TEXT_SYNTAX, "here", "[site]" } } },
  { "bad section name",
    FIXTURE_SITE "[service a b]\nkind = nonsense\n",
    { { 3, 10, MQ_ERR_TEXT_BAD_VALUE, "a b", "letters, digits" } } },
  { "route without a dot",
    FIXTURE_SITE "[route records]\npath = /x\nidempotent = yes\n",
    { { 3, 8, MQ_ERR_TEXT_BAD_VALUE, "records", "SERVICE.NAME" } } },
  { "section without a type",
    FIXTURE_SITE "[ ]\n",
    { { 3, 3, MQ_ERR_TEXT_UNKNOWN_SECTION, "[]", "site, organisation" } } },
  { "unknown section",
    FIXTURE_SITE "[servise m]\nkind = model\n",
    { { 3, 10, MQ_ERR_TEXT_UNKNOWN_SECTION, "servise",
        "did you mean service?" } } },
  { "unknown key, nearest named",
    FIXTURE_SITE "partition = 4\n",
    { { 3, 1, MQ_ERR_TEXT_UNKNOWN_KEY, "partition",
        "did you mean partitions? name" } } },
  { "unknown key, none near",
    FIXTURE_SITE "colour = 4\n",
    { { 3, 1, MQ_ERR_TEXT_UNKNOWN_KEY, "colour", "name, partitions" } } },
  { "key of another kind",
    FIXTURE_SITE FIXTURE_MODEL "budget_turns = 4\n",
    { { 6, 1, MQ_ERR_TEXT_UNKNOWN_KEY, "budget_turns", "max_tokens" } } },
  { "wrong kind, other keys still checked",
    FIXTURE_SITE "[service m]\nkind = modle\nmodell = x\ntimeout_ms = 1\n",
    { { 4, 8, MQ_ERR_TEXT_BAD_VALUE, "kind = modle", "did you mean model?" },
      { 5, 1, MQ_ERR_TEXT_UNKNOWN_KEY, "modell", "did you mean model?" },
      { 6, 14, MQ_ERR_TEXT_BAD_VALUE, "timeout_ms = 1", "10..3600000" } } },
  { "missing kind",
    FIXTURE_SITE "[service m]\nmodel = x\n",
    { { 3, 10, MQ_ERR_TEXT_MISSING, "kind of [service m]",
        "agent, model" } } },
  { "number out of range",
    "[site]\nname = s\npartitions = 1001\n",
    { { 3, 14, MQ_ERR_TEXT_BAD_VALUE, "partitions = 1001", "1..1000" } } },
  { "number over 64 bits",
    "[site]\nname = s\npartitions = 18446744073709551617\n",
    { { 3, 14, MQ_ERR_TEXT_BAD_VALUE, "partitions = 18446744073709551617",
        "1..1000" } } },
  { "not a number",
    "[site]\nname = s\nlease_ms = -5\n",
    { { 3, 12, MQ_ERR_TEXT_BAD_VALUE, "lease_ms = -5", "1000..600000" } } },
  { "neither yes nor no",
    FIXTURE_SITE "[service t]\nkind = tool\npath = /t\nidempotent = maybe\n",
    { { 6, 14, MQ_ERR_TEXT_BAD_VALUE, "idempotent = maybe", "yes, no" } } },
  { "idempotent must be said for a tool",
    FIXTURE_SITE "[service t]\nkind = tool\npath = /t\n",
    { { 3, 10, MQ_ERR_TEXT_MISSING, "idempotent of [service t]",
        "yes, no" } } },
  { "idempotent must be said for a route",
    FIXTURE_SITE "[service p]\nkind = plain\n[route p.r]\npath = /r\n",
    { { 5, 8, MQ_ERR_TEXT_MISSING, "idempotent of [route p.r]", NULL } } },
  { "path without a slash",
    FIXTURE_SITE "[service t]\nkind = tool\npath = t\nidempotent = no\n",
    { { 5, 8, MQ_ERR_TEXT_BAD_VALUE, "path = t", "begins with /" } } },
  { "a key pasted in place of its hash is not shown",
    FIXTURE_SITE "[organisation o]\nkey_sha256 = very-secret\n",
    { { 4, 14, MQ_ERR_TEXT_BAD_VALUE, "key_sha256",
        "64 hexadecimal digits" } } },
  { "key given twice",
    FIXTURE_SITE "name = t\n",
    { { 3, 1, MQ_ERR_TEXT_DUPLICATE, "name", "first given in line 2" } } },
  { "service given twice",
    FIXTURE_SITE FIXTURE_MODEL FIXTURE_MODEL,
    { { 6, 10, MQ_ERR_TEXT_DUPLICATE, "[service m]",
        "first given in line 3" } } },
  { "two organisations with one key",
    FIXTURE_SITE "[organisation o]\n" KEY_A "[organisation p]\n" KEY_A,
    { { 6, 14, MQ_ERR_TEXT_DUPLICATE, "key_sha256 of p, same as of o",
        "a different key" } } },
  { "unknown dependencies, nearest named",
    FIXTURE_SITE FIXTURE_MODEL "[service a]\nkind = agent\n"
                               "depends = m, lookup, n2\n"
                               "[service look-up]\nkind = tool\npath = /l\n"
                               "idempotent = yes\n",
    { { 8, 14, MQ_ERR_TEXT_UNKNOWN_NAME, "lookup", "did you mean look-up?" },
      { 8, 22, MQ_ERR_TEXT_UNKNOWN_NAME, "n2", "m, a, look-up" } } },
  { "dependency named twice",
    FIXTURE_SITE FIXTURE_MODEL "[service a]\nkind = agent\ndepends = m,m\n",
    { { 8, 13, MQ_ERR_TEXT_DUPLICATE, "m", "once" } } },
  { "nothing between two commas",
    FIXTURE_SITE FIXTURE_MODEL "[service a]\nkind = agent\ndepends = m,\n",
    { { 8, 13, MQ_ERR_TEXT_BAD_VALUE, "depends",
        "non-empty service names" } } },
  { "agent without a model",
    FIXTURE_SITE FIXTURE_MODEL "[service a]\nkind = agent\ndepends = t\n"
                               "[service t]\nkind = tool\npath = /t\n"
                               "idempotent = yes\n",
    { { 8, 11, MQ_ERR_TEXT_MISSING, "depends of a names no model service",
        "exactly one" } } },
  { "agent with two models",
    FIXTURE_SITE FIXTURE_MODEL "[service n]\nkind = model\nmodel = x\n"
                               "[service a]\nkind = agent\ndepends = m, n\n",
    { { 11, 11, MQ_ERR_TEXT_BAD_VALUE,
        "depends of a names more than one model service", "exactly one" } } },
  { "agent that depends on nothing",
    FIXTURE_SITE "[service a]\nkind = agent\n",
    { { 3, 10, MQ_ERR_TEXT_MISSING, "depends of [service a]", "names" } } },
  { "agent that depends on itself",
    FIXTURE_SITE FIXTURE_MODEL "[service a]\nkind = agent\ndepends = m, a\n",
    { { 8, 11, MQ_ERR_TEXT_CYCLE, "a -> a", "no dependency cycles" } } },
  { "circle of three, its path named",
    FIXTURE_SITE FIXTURE_MODEL "[service a]\nkind = agent\ndepends = m, b\n"
                               "[service b]\nkind = agent\ndepends = m, c\n"
                               "[service c]\nkind = agent\ndepends = m, a\n",
    { { 14, 11, MQ_ERR_TEXT_CYCLE, "a -> b -> c -> a", NULL } } },
  { "budget below one answer of the model",
    FIXTURE_SITE FIXTURE_MODEL "max_tokens = 100\n[service a]\nkind = agent\n"
                               "depends = m\nbudget_tokens = 99\n",
    { { 10, 17, MQ_ERR_TEXT_BUDGET, "budget_tokens of a: 99",
        "at least max_tokens of m: 100" } } },
  { "default budget below one answer of the model",
    FIXTURE_SITE FIXTURE_MODEL "max_tokens = 40000\n[service a]\n"
                               "kind = agent\ndepends = m\n",
    { { 7, 10, MQ_ERR_TEXT_BUDGET, "budget_tokens of a: 32768", "40000" } } },
  { "budgets of nothing",
    FIXTURE_SITE FIXTURE_MODEL "[service a]\nkind = agent\ndepends = m\n"
                               "budget_tokens = 0\nbudget_turns = 0\n"
                               "budget_seconds = 0\n",
    { { 9, 17, MQ_ERR_TEXT_BUDGET, "budget_tokens = 0", "1.." },
      { 10, 16, MQ_ERR_TEXT_BUDGET, "budget_turns = 0", "1.." },
      { 11, 18, MQ_ERR_TEXT_BUDGET, "budget_seconds = 0", "1.." } } },
  { "plain service without routes",
    FIXTURE_SITE "[service p]\nkind = plain\n",
    { { 3, 10, MQ_ERR_TEXT_MISSING, "route of plain service p",
        "[route p.NAME]" } } },
  { "route of an unknown service",
    FIXTURE_SITE "[route q.r]\npath = /r\nidempotent = no\n",
    { { 3, 8, MQ_ERR_TEXT_UNKNOWN_NAME, "q", NULL } } },
  { "route of a model service",
    FIXTURE_SITE FIXTURE_MODEL "[route m.r]\npath = /r\nidempotent = no\n",
    { { 6, 8, MQ_ERR_TEXT_BAD_VALUE, "m.r", "kind plain" } } },
  { "a byte that is no text",
    FIXTURE_SITE "; caf\xe9\n",
    { { 3, 1, MQ_ERR_TEXT_SYNTAX, "invalid byte in line", "UTF-8" } } },
  { "errors of all parts in line order",
    "[site]\nname = ?\n[service a]\nkind = agent\ndepends = b\n"
    "weight = 1\nwords\n[service b]\nkind = tool\n",
    { { 2, 8, MQ_ERR_TEXT_BAD_VALUE, "name = ?", "letters" },
      { 5, 11, MQ_ERR_TEXT_MISSING, "depends of a names no model service",
        NULL },
      { 6, 1, MQ_ERR_TEXT_UNKNOWN_KEY, "weight", "kind, depends" },
      { 7, 1, MQ_ERR_TEXT_SYNTAX, "missing '='", NULL },
      { 8, 10, MQ_ERR_TEXT_MISSING, "idempotent of [service b]", NULL },
      { 8, 10, MQ_ERR_TEXT_MISSING, "path of [service b]", NULL } } },
};

#define COUNT(array) (sizeof (array) / sizeof (array)[0])

static size_t
expected_count (const struct bad_text *text)
{
  size_t count = 0;

  while (count < EXPECTED_MAX && text->errors[count].type != MQ_ERR_NONE)
    count++;
  return count;
}

static void
compare_error (const char *name, const struct mq_error *got,
               const struct expected *want)
{
  cr_expect_eq (got->type, want->type, "%s: %s", name,
                mq_error_name (got->type));
  cr_expect_eq (got->line, want->line, "%s: line %u", name, got->line);
  cr_expect_eq (got->column, want->column, "%s: column %u", name, got->column);
  cr_expect_str_eq (got->subject, want->subject, "%s: subject %s", name,
                    got->subject);
  cr_expect (want->allowed == NULL
                 || strstr (got->allowed, want->allowed) != NULL,
             "%s: allowed %s", name, got->allowed);
}

Test (text, bad_texts_name_every_error)
{
  for (size_t i = 0; i < COUNT (bad_texts); i++)
    {
      const struct bad_text *bad = &bad_texts[i];
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct mq_text_errors errors;
      size_t count = expected_count (bad);
      struct mq_text *text
          = mq_text_parse (ctx, bad->source, strlen (bad->source), &errors);

      cr_expect_null (text, "%s", bad->name);
      cr_expect_eq (errors.count, count, "%s: %zu errors", bad->name,
                    errors.count);
      for (size_t j = 0; j < errors.count && j < count; j++)
        compare_error (bad->name, &errors.items[j], &bad->errors[j]);
      talloc_free (ctx);
    }
}

Test (text, examples_parse)
{
  for (size_t i = 0; fixture_examples[i] != NULL; i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      size_t len;
      char *source = fixture_read (ctx, fixture_examples[i], &len);
      struct mq_text *text = fixture_parse (ctx, source);

      cr_expect_gt (text->service_count, 0, "%s", fixture_examples[i]);
      cr_expect_gt (text->organisation_count, 0, "%s", fixture_examples[i]);
      talloc_free (ctx);
    }
}

Test (text, values_of_an_example)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  size_t len;
  char *source = fixture_read (ctx, "examples/diagne.ini", &len);
  struct mq_text *text = fixture_parse (ctx, source);
  const struct mq_service *agent = mq_text_find_service (text, "onboarding");
  const struct mq_service *app = mq_text_find_service (text, "accueil-app");
  const struct mq_service *models
      = mq_text_find_service (text, "guide-models");
  const struct mq_service *tool
      = mq_text_find_service (text, "send-invitation");

  cr_assert (agent != NULL && app != NULL && models != NULL && tool != NULL);
  cr_expect_str_eq (text->site, "diagne");
  cr_expect_eq (text->partitions, 16);
  cr_expect_eq (agent->budget.tokens, 32768);
  cr_expect_eq (agent->budget.turns, 120);
  cr_expect_eq (agent->budget.seconds, 28800);
  cr_expect_eq (agent->depend_count, 4);
  cr_expect (mq_text_depends (text, agent, app));
  cr_expect_not (mq_text_depends (text, agent, tool));
  cr_expect_not (mq_text_depends (text, app, agent));
  cr_expect_not_null (strstr (agent->prompt, "first days.\nTake the steps"));
  cr_expect (models->checks_fence);
  cr_expect_str_eq (models->model, "guide-8b");
  cr_expect_eq (models->max_tokens, 512);
  cr_expect_not (tool->idempotent);
  cr_expect_str_eq (tool->path, "/v1/invitations/send");
  cr_expect_not (mq_text_find_route (app, "submit-bank-details")->idempotent);
  cr_expect (mq_text_find_route (app, "checklist")->idempotent);
  cr_expect_null (mq_text_find_route (app, "no-such"));
  cr_expect_null (mq_text_find_service (text, "no-such"));
  talloc_free (ctx);
}

Test (text, defaults_and_layout)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  /* A byte order mark, CRLF, an indented key, a colon, comments.  */
  struct mq_text *text = fixture_parse (
      ctx, "\xef\xbb\xbf; first\r\n[site] ; s\r\n  name = s ; the site\r\n"
           "# more\r\n" FIXTURE_MODEL
           "[service a]\nkind: agent\ndepends =\tm\nprompt = one\nprompt =\n"
           "prompt = three");
  const struct mq_service *agent = mq_text_find_service (text, "a");

  cr_expect_str_eq (text->site, "s");
  cr_expect_eq (text->partitions, 16);
  cr_expect_eq (text->lease_ms, 5000);
  cr_expect_eq (agent->priority, MQ_PRIORITY_INTERACTIVE);
  cr_expect_eq (agent->budget.tokens, 32768);
  cr_expect_str_eq (agent->prompt, "one\n\nthree");
  cr_expect_eq (text->services[0].max_tokens, 1024);
  cr_expect_not (text->services[0].checks_fence);
  talloc_free (ctx);
}

/* inih truncates section names at 49 bytes; services that differ only after
   that must not be mixed up.  */
Test (text, long_names_are_not_cut)
{
  char name[MQ_NAME_MAX + 1] = "";
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_text_errors errors;
  struct mq_text *text;
  char *source;

  memset (name, 'n', MQ_NAME_MAX - 2);
  source = talloc_asprintf (ctx,
                            FIXTURE_SITE
                            "[service %sa]\nkind = model\nmodel = x\n"
                            "[service %sb]\nkind = model\nmodel = y\n",
                            name, name);
  text = fixture_parse (ctx, source);
  cr_expect_eq (text->service_count, 2);
  name[MQ_NAME_MAX - 2] = 'b';
  cr_expect_str_eq (mq_text_find_service (text, name)->model, "y");
  name[MQ_NAME_MAX - 1] = 'c';
  source = talloc_asprintf (
      ctx, FIXTURE_SITE "[service %s]\nkind = model\nmodel = x\n", name);
  cr_expect_null (mq_text_parse (ctx, source, strlen (source), &errors));
  cr_expect_eq (errors.items[0].type, MQ_ERR_TEXT_BAD_VALUE);
  talloc_free (ctx);
}

/* inih splits a line longer than its buffer, so the rest of a long prompt
   could be parsed as a key.  Such lines must be rejected.  */
Test (text, line_length)
{
  static const struct
  {
    uint32_t len;
    bool whole;
  } cases[] = { { MQ_TEXT_LINE_MAX, true }, { MQ_TEXT_LINE_MAX + 1, false } };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct mq_text_errors errors;
      size_t key_len = strlen ("prompt = ");
      char *line = talloc_array (ctx, char, cases[i].len + 1);
      struct mq_text *text;
      char *source;

      memset (line, '=', cases[i].len);
      line[cases[i].len] = '\0';
      source = talloc_asprintf (ctx,
                                FIXTURE_SITE FIXTURE_MODEL
                                "[service a]\nkind = agent\ndepends = m\n"
                                "prompt = %s\n",
                                line + key_len);
      text = mq_text_parse (ctx, source, strlen (source), &errors);
      cr_expect_eq (text != NULL, cases[i].whole, "%u", cases[i].len);
      if (text != NULL)
        cr_expect_eq (strlen (text->services[1].prompt),
                      cases[i].len - key_len);
      else
        {
          cr_expect_eq (errors.count, 1);
          cr_expect_eq (errors.items[0].line, 9);
          cr_expect_eq (errors.items[0].type, MQ_ERR_TEXT_SYNTAX);
          cr_expect_str_eq (errors.items[0].subject, "line too long");
        }
      talloc_free (ctx);
    }
}

Test (text, zero_bytes_and_size)
{
  static const char zero[] = FIXTURE_SITE "lease_ms = 50\0000\n";
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_text_errors errors;
  char *large = talloc_array (ctx, char, MQ_TEXT_MAX_BYTES + 1);

  cr_expect_null (mq_text_parse (ctx, zero, sizeof zero - 1, &errors));
  cr_expect_eq (errors.items[0].type, MQ_ERR_TEXT_SYNTAX);
  cr_expect_eq (errors.items[0].line, 3);
  memset (large, '\n', MQ_TEXT_MAX_BYTES + 1);
  cr_expect_null (mq_text_parse (ctx, large, MQ_TEXT_MAX_BYTES + 1, &errors));
  cr_expect_eq (errors.items[0].type, MQ_ERR_TOO_LARGE);
  /* The error list is bounded and reports that it is truncated.  */
  memset (large, 'x', MQ_TEXT_MAX_BYTES);
  for (size_t i = 0; i < MQ_TEXT_MAX_BYTES; i += 2)
    large[i] = '\n';
  cr_expect_null (mq_text_parse (ctx, large, MQ_TEXT_MAX_BYTES, &errors));
  cr_expect_eq (errors.count, MQ_TEXT_ERRORS_MAX);
  talloc_free (ctx);
}

Test (text, organisations_are_found_among_many)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  char *source = talloc_strdup (ctx, FIXTURE_SITE);
  struct mq_text *text;

  for (unsigned int i = 0; i < 500; i++)
    source = talloc_asprintf_append (
        source, "[organisation o%u]\nkey_sha256 = %064x\n", i * 7 % 500,
        i + 1);
  text = fixture_parse (ctx, source);
  for (unsigned int i = 0; i < 500; i++)
    {
      uint8_t hash[MQ_KEY_BYTES] = { 0 };
      char *name = talloc_asprintf (ctx, "o%u", i * 7 % 500);

      hash[MQ_KEY_BYTES - 1] = (uint8_t)(i + 1);
      hash[MQ_KEY_BYTES - 2] = (uint8_t)((i + 1) >> 8);
      cr_expect_str_eq (mq_text_find_key (text, hash)->name, name);
      cr_expect_eq (mq_text_find_organisation (text, name),
                    &text->organisations[i]);
      hash[0] = 1;
      cr_expect_null (mq_text_find_key (text, hash));
    }
  talloc_free (ctx);
}

Test (text, edit_distance)
{
  static const struct
  {
    const char *from;
    const char *to;
    uint32_t distance;
  } cases[] = { { "", "", 0 },
                { "", "abc", 3 },
                { "abc", "abc", 0 },
                { "abc", "abd", 1 },
                { "abc", "acb", 1 },
                { "abc", "ab", 1 },
                { "kitten", "sitting", 3 },
                { "model", "modle", 1 } };

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      cr_expect_eq (mq_edit_distance (cases[i].from, cases[i].to),
                    cases[i].distance, "%s %s", cases[i].from, cases[i].to);
      cr_expect_eq (mq_edit_distance (cases[i].to, cases[i].from),
                    cases[i].distance, "%s %s", cases[i].to, cases[i].from);
    }
}

/* Every key must be found by name, have help and effect texts, and a valid
   default unless it is required.  */
Test (text, table_of_keys)
{
  const struct mq_key_table *table = mq_text_keys ();

  cr_assert_leq (table->key_count, 64);
  for (size_t i = 0; i < table->key_count; i++)
    {
      const struct mq_key *key = &table->keys[i];

      cr_expect_eq (mq_key_find (table, key->section, key->name), key, "%s",
                    key->name);
      cr_expect (key->help != NULL && key->effect != NULL, "%s", key->name);
      cr_expect (key->required == (key->fallback == NULL), "%s", key->name);
    }
}

/* Applies random edits to SOURCE in place; returns the new length.  */
static size_t
mutate (char *source, size_t len, uint64_t *random)
{
  static const char bytes[] = "[]=;,. \n\r\t#:0a-\"\0\xff\xc3";
  uint32_t changes = 1 + mq_random_below (random, 6);

  for (uint32_t i = 0; i < changes; i++)
    {
      uint32_t at = mq_random_below (random, (uint32_t)len);
      uint32_t span = mq_random_below (random, 40);

      if (at + span > len)
        span = (uint32_t)len - at;
      switch (mq_random_below (random, 4))
        {
        case 0: /* replace a byte */
          source[at] = bytes[mq_random_below (random, sizeof bytes - 1)];
          break;
        case 1: /* delete a span */
          memmove (source + at, source + at + span, len - at - span);
          len -= span;
          break;
        case 2: /* overwrite with a copy of a span */
          memmove (source + mq_random_below (random, (uint32_t)(len - span)),
                   source + at, span);
          break;
        default: /* truncate */
          if (mq_random_below (random, 10) == 0 && at > 0)
            len = at;
          break;
        }
    }
  return len;
}

static void
check_error (const struct mq_error *error, uint32_t last_line)
{
  cr_assert_neq (error->type, MQ_ERR_NONE);
  cr_assert_geq (error->line, last_line);
  cr_assert_geq (error->column, 1);
  cr_assert_neq (error->subject[0], '\0');
}

/* Any input must give a consistent text, or at least one error; errors have a
   position and a subject and are in line order.  */
Test (text, mutated_examples)
{
  uint64_t random = 20250101;
  size_t whole = 0;
  size_t refused = 0;

  for (size_t round = 0; round < 6000; round++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct mq_text_errors errors;
      struct mq_text *text;
      size_t len;
      char *source = fixture_read (ctx, fixture_examples[round % 7], &len);

      len = mutate (source, len, &random);
      text = mq_text_parse (ctx, source, len, &errors);
      cr_assert_eq (text == NULL, errors.count > 0);
      for (size_t i = 0; i < errors.count; i++)
        check_error (&errors.items[i], i == 0 ? 0 : errors.items[i - 1].line);
      for (size_t i = 0; text != NULL && i < text->service_count; i++)
        for (size_t j = 0; j < text->services[i].depend_count; j++)
          cr_assert_lt (text->services[i].depends[j], text->service_count);
      whole += text != NULL;
      refused += text == NULL;
      talloc_free (ctx);
    }
  /* Both outcomes must occur often enough to be tested.  */
  cr_expect_gt (whole, 100);
  cr_expect_gt (refused, 1000);
}
