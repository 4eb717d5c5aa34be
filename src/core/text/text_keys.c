/* text_keys.c - key table of the configuration text, and section parsing.

   Needs: text_keys.h, text_values.h, text_hint.h.  */

#include "text_keys.h"
#include "text_hint.h"
#include "text_values.h"
#include <stdlib.h>
#include <string.h>

#define MONTH_SECONDS 2592000U
#define HOUR_MS 3600000U

#define AGENT MQ_KIND_BIT (MQ_SERVICE_AGENT)
#define MODEL MQ_KIND_BIT (MQ_SERVICE_MODEL)
#define PLAIN MQ_KIND_BIT (MQ_SERVICE_PLAIN)
#define TOOL MQ_KIND_BIT (MQ_SERVICE_TOOL)

#define AT_ONCE "applies to calls from now on"
#define NEW_PROGRAMS "applies to programs opened from now on"

static const struct mq_key_choice kind_choices[]
    = { { "agent", MQ_SERVICE_AGENT },
        { "model", MQ_SERVICE_MODEL },
        { "plain", MQ_SERVICE_PLAIN },
        { "tool", MQ_SERVICE_TOOL },
        { NULL, 0 } };

static const struct mq_key_choice priority_choices[]
    = { { "urgent", MQ_PRIORITY_URGENT },
        { "interactive", MQ_PRIORITY_INTERACTIVE },
        { "batch", MQ_PRIORITY_BATCH },
        { NULL, 0 } };

static const struct mq_key keys[] = {
  /* [site] */
  { .section = "site",
    .name = "name",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_NAME,
    .required = true,
    .offset = offsetof (struct mq_text, site),
    .help = "name of the site",
    .effect = "affects only what is displayed" },
  { .section = "site",
    .name = "partitions",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_UINT32,
    .min = 1,
    .max = 1000,
    .fallback = "16",
    .offset = offsetof (struct mq_text, partitions),
    .help = "number of partitions of programs, fixed for the life of a site",
    .effect = "refused: running programs would no longer be found" },
  { .section = "site",
    .name = "lease_ms",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_UINT32,
    .min = 1000,
    .max = 600000,
    .fallback = "5000",
    .offset = offsetof (struct mq_text, lease_ms),
    .help = "an owner of partitions that is silent for longer may be taken "
            "over",
    .effect = "changes how soon the partitions of a failed owner are taken "
              "over" },
  { .section = "site",
    .name = "cache_lease_ms",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_UINT32,
    .min = 1000,
    .max = HOUR_MS,
    .fallback = "30000",
    .offset = offsetof (struct mq_text, cache_lease_ms),
    .help = "engine cache of a program that is not renewed for longer is "
            "evicted",
    .effect = "applies to cache leases renewed from now on" },
  /* [organisation NAME] */
  { .section = "organisation",
    .name = "key_sha256",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_HEX_32,
    .required = true,
    .offset = offsetof (struct mq_organisation, key_hash),
    .help = "SHA-256 of the organisation's key (mimosactl hash-key)",
    .effect = "the old key is refused at once" },
  { .section = "organisation",
    .name = "weight",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_UINT32,
    .min = 1,
    .max = 1000,
    .fallback = "1",
    .offset = offsetof (struct mq_organisation, weight),
    .help = "share of capacity when there is not enough for all",
    .effect = AT_ONCE },
  { .section = "organisation",
    .name = "max_programs",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_UINT32,
    .min = 1,
    .max = 1000000,
    .fallback = "1000",
    .offset = offsetof (struct mq_organisation, max_programs),
    .help = "programs under way at a time",
    .effect
    = "running programs continue; new ones are refused above the limit" },
  /* [service NAME] */
  { .section = "service",
    .name = "kind",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_CHOICE,
    .required = true,
    .choices = kind_choices,
    .offset = offsetof (struct mq_service, kind),
    .help = "what stands behind the service",
    .effect = "programs that depend on it may fail with bad_answer" },
  { .section = "service",
    .name = "depends",
    .kinds = AGENT,
    .type = MQ_KEY_NAMES,
    .required = true,
    .offset = offsetof (struct mq_service, depends),
    .help = "services that its programs may call, exactly one model among "
            "them",
    .effect = "running programs can't call a service that was removed" },
  { .section = "service",
    .name = "budget_tokens",
    .kinds = AGENT,
    .type = MQ_KEY_UINT64,
    .budget = true,
    .min = 1,
    .max = 1000000000,
    .fallback = "32768",
    .offset = offsetof (struct mq_service, budget.tokens),
    .help = "tokens that one program may generate, sub-programs included",
    .effect = NEW_PROGRAMS },
  { .section = "service",
    .name = "budget_turns",
    .kinds = AGENT,
    .type = MQ_KEY_UINT32,
    .budget = true,
    .min = 1,
    .max = 100000,
    .fallback = "64",
    .offset = offsetof (struct mq_service, budget.turns),
    .help = "calls of any kind that one program may make, sub-programs "
            "included",
    .effect = NEW_PROGRAMS },
  { .section = "service",
    .name = "budget_seconds",
    .kinds = AGENT,
    .type = MQ_KEY_UINT32,
    .budget = true,
    .min = 1,
    .max = MONTH_SECONDS,
    .fallback = "3600",
    .offset = offsetof (struct mq_service, budget.seconds),
    .help = "time of one program, waiting for a person not counted",
    .effect = NEW_PROGRAMS },
  { .section = "service",
    .name = "priority",
    .kinds = AGENT,
    .type = MQ_KEY_CHOICE,
    .fallback = "interactive",
    .choices = priority_choices,
    .offset = offsetof (struct mq_service, priority),
    .help = "class of its programs: someone waits, usual, or batch",
    .effect = AT_ONCE },
  { .section = "service",
    .name = "prompt",
    .kinds = AGENT,
    .type = MQ_KEY_LINES,
    .fallback = "",
    .offset = offsetof (struct mq_service, prompt),
    .help = "text that begins every history, one key for each line",
    .effect = NEW_PROGRAMS "; the common prefix is recomputed" },
  { .section = "service",
    .name = "model",
    .kinds = MODEL,
    .type = MQ_KEY_STRING,
    .required = true,
    .min = 1,
    .max = MQ_NAME_MAX - 1,
    .offset = offsetof (struct mq_service, model),
    .help = "model that its engines must serve",
    .effect = "engines that serve another model get no new calls" },
  { .section = "service",
    .name = "max_tokens",
    .kinds = MODEL,
    .type = MQ_KEY_UINT32,
    .min = 1,
    .max = 1000000,
    .fallback = "1024",
    .offset = offsetof (struct mq_service, max_tokens),
    .help = "most tokens of one answer",
    .effect = AT_ONCE },
  { .section = "service",
    .name = "path",
    .kinds = TOOL,
    .type = MQ_KEY_PATH,
    .required = true,
    .offset = offsetof (struct mq_service, path),
    .help = "path of the call",
    .effect = AT_ONCE },
  { .section = "service",
    .name = "idempotent",
    .kinds = TOOL,
    .type = MQ_KEY_YES_NO,
    .required = true,
    .offset = offsetof (struct mq_service, idempotent),
    .help = "the call may be repeated; with no it runs at most once",
    .effect = AT_ONCE },
  { .section = "service",
    .name = "timeout_ms",
    .kinds = MODEL | PLAIN | TOOL,
    .type = MQ_KEY_UINT32,
    .min = 10,
    .max = HOUR_MS,
    .fallback = "30000",
    .offset = offsetof (struct mq_service, timeout_ms),
    .help = "a call that runs for longer is given up",
    .effect = AT_ONCE },
  { .section = "service",
    .name = "checks_fence",
    .kinds = MODEL,
    .type = MQ_KEY_YES_NO,
    .fallback = "no",
    .offset = offsetof (struct mq_service, checks_fence),
    .help = "its targets refuse an order with an old fencing number",
    .effect = AT_ONCE },
  { .section = "service",
    .name = "retry_percent",
    .kinds = MODEL | PLAIN | TOOL,
    .type = MQ_KEY_UINT32,
    .min = 0,
    .max = 100,
    .fallback = "10",
    .offset = offsetof (struct mq_service, retry_percent),
    .help = "retries allowed, as a share of its calls",
    .effect = AT_ONCE },
  /* [route SERVICE.NAME] */
  { .section = "route",
    .name = "path",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_PATH,
    .required = true,
    .offset = offsetof (struct mq_route, path),
    .help = "path of the call",
    .effect = AT_ONCE },
  { .section = "route",
    .name = "idempotent",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_YES_NO,
    .required = true,
    .offset = offsetof (struct mq_route, idempotent),
    .help = "the call may be repeated; with no it runs at most once",
    .effect = AT_ONCE },
};

static const char *const service_kinds[]
    = { "agent", "model", "plain", "tool", NULL };

static const struct mq_key_section sections[] = {
  { .type = "site", .shape = "[site]", .once = true },
  { .type = "organisation", .shape = "[organisation NAME]", .named = true },
  { .type = "service",
    .shape = "[service NAME]",
    .named = true,
    .kinds = service_kinds },
  { .type = "route",
    .shape = "[route SERVICE.NAME]",
    .named = true,
    .dotted = true },
};

#define COUNT(array) (sizeof (array) / sizeof (array)[0])

const struct mq_key_table *
mq_text_keys (void)
{
  static const struct mq_key_table table = {
    .keys = keys,
    .key_count = COUNT (keys),
    .sections = sections,
    .section_count = COUNT (sections),
  };

  return &table;
}

const struct mq_key *
mq_key_find (const struct mq_key_table *table, const char *section,
             const char *name)
{
  for (size_t i = 0; i < table->key_count; i++)
    if (strcmp (table->keys[i].section, section) == 0
        && strcmp (table->keys[i].name, name) == 0)
      return &table->keys[i];
  return NULL;
}

/* Headers.  */

static struct mq_text_position
header_position (const struct mq_ini_section *section)
{
  struct mq_text_position position = { section->line, section->name_column };

  return position;
}

static struct mq_text_position
key_position (const struct mq_ini_pair *pair)
{
  struct mq_text_position position = { pair->line, pair->column };

  return position;
}

static struct mq_text_position
value_position (const struct mq_ini_pair *pair)
{
  struct mq_text_position position = { pair->line, pair->value_column };

  return position;
}

static const struct mq_key_section *
find_section (const struct mq_key_table *table, const char *type)
{
  for (size_t i = 0; i < table->section_count; i++)
    if (strcmp (table->sections[i].type, type) == 0)
      return &table->sections[i];
  return NULL;
}

static void
report_unknown_section (const struct mq_key_table *table,
                        const struct mq_ini_section *section,
                        struct mq_error_list *errors)
{
  struct mq_hint hint;
  char allowed[MQ_SUBJECT_MAX];

  mq_hint_init (&hint, section->type);
  for (size_t i = 0; i < table->section_count; i++)
    mq_hint_add (&hint, table->sections[i].type);
  mq_hint_format (&hint, allowed);
  mq_error_list_add (errors, MQ_ERR_TEXT_UNKNOWN_SECTION,
                     header_position (section),
                     section->type[0] == '\0' ? "[]" : section->type, allowed);
}

static bool
name_is_valid (const struct mq_key_section *row, const char *name)
{
  const char *dot = strchr (name, '.');

  if (!row->dotted)
    return mq_name_is_valid (name, strlen (name));
  return dot != NULL && mq_name_is_valid (name, (size_t)(dot - name))
         && mq_name_is_valid (dot + 1, strlen (dot + 1));
}

static bool
check_header (const struct mq_key_section *row,
              const struct mq_ini_section *section,
              struct mq_error_list *errors)
{
  const char *subject = section->name;
  enum mq_error_type type = MQ_ERR_NONE;
  const char *allowed = row->shape;

  if (row->named && section->name[0] == '\0')
    {
      type = MQ_ERR_TEXT_SYNTAX;
      subject = section->type;
    }
  else if (!row->named && section->name[0] != '\0')
    type = MQ_ERR_TEXT_SYNTAX;
  else if (row->named && !name_is_valid (row, section->name))
    {
      type = MQ_ERR_TEXT_BAD_VALUE;
      allowed = row->dotted ? "SERVICE.NAME of " MQ_NAME_ALLOWED " each"
                            : MQ_NAME_ALLOWED;
    }
  if (type != MQ_ERR_NONE)
    mq_error_list_add (errors, type, header_position (section), subject,
                       allowed);
  return type == MQ_ERR_NONE;
}

static int
compare_headers (const void *left, const void *right, void *data)
{
  const struct mq_ini *ini = data;
  size_t a = *(const size_t *)left;
  size_t b = *(const size_t *)right;
  int order = strcmp (ini->sections[a].type, ini->sections[b].type);

  if (order == 0)
    order = strcmp (ini->sections[a].name, ini->sections[b].name);
  if (order == 0)
    order = a < b ? -1 : 1;
  return order;
}

static void
report_duplicate (const struct mq_ini_section *first,
                  const struct mq_ini_section *second,
                  struct mq_error_list *errors)
{
  char *subject = talloc_asprintf (errors->ctx, "[%s%s%s]", second->type,
                                   *second->name ? " " : "", second->name);
  char *allowed
      = talloc_asprintf (errors->ctx, "first given in line %u", first->line);

  mq_error_list_add (errors, MQ_ERR_TEXT_DUPLICATE, header_position (second),
                     subject, allowed);
  talloc_free (subject);
  talloc_free (allowed);
}

/* Reports and skips duplicate sections.  Their keys are not checked.  */
static void
check_duplicates (const struct mq_ini *ini, const struct mq_key_section **rows,
                  struct mq_error_list *errors)
{
  size_t *order = talloc_array (rows, size_t, ini->section_count);
  size_t count = 0;
  size_t first = 0;

  if (order == NULL)
    return;
  for (size_t i = 0; i < ini->section_count; i++)
    if (rows[i] != NULL)
      order[count++] = i;
  if (count > 1)
    qsort_r (order, count, sizeof order[0], compare_headers, (void *)ini);
  for (size_t i = 1; i < count; i++)
    {
      const struct mq_ini_section *a = &ini->sections[order[first]];
      const struct mq_ini_section *b = &ini->sections[order[i]];

      if (strcmp (a->type, b->type) == 0 && strcmp (a->name, b->name) == 0)
        {
          report_duplicate (a, b, errors);
          rows[order[i]] = NULL;
        }
      else
        first = i;
    }
  talloc_free (order);
}

static void
check_missing_sections (const struct mq_key_table *table,
                        const struct mq_ini *ini, struct mq_error_list *errors)
{
  struct mq_text_position start = { 1, 1 };

  for (size_t i = 0; i < table->section_count; i++)
    {
      const struct mq_key_section *row = &table->sections[i];
      bool seen = !row->once;

      for (size_t j = 0; j < ini->section_count && !seen; j++)
        seen = strcmp (ini->sections[j].type, row->type) == 0;
      if (!seen)
        mq_error_list_add (errors, MQ_ERR_TEXT_MISSING, start, row->shape,
                           "exactly one");
    }
}

const struct mq_key_section **
mq_key_check_headers (TALLOC_CTX *ctx, const struct mq_key_table *table,
                      const struct mq_ini *ini, struct mq_error_list *errors)
{
  const struct mq_key_section **rows;

  rows = talloc_zero_array (ctx, const struct mq_key_section *,
                            ini->section_count);
  if (rows == NULL)
    return NULL;
  for (size_t i = 0; i < ini->section_count; i++)
    {
      const struct mq_ini_section *section = &ini->sections[i];
      const struct mq_key_section *row = find_section (table, section->type);

      if (row == NULL)
        report_unknown_section (table, section, errors);
      else if (check_header (row, section, errors))
        rows[i] = row;
    }
  check_duplicates (ini, rows, errors);
  check_missing_sections (table, ini, errors);
  return rows;
}

/* Keys and values.  */

static bool
key_belongs (const struct mq_key *key, const char *section, uint32_t kinds)
{
  return strcmp (key->section, section) == 0 && (key->kinds & kinds) != 0;
}

/* True when all kinds in the mask accept the key.  */
static bool
key_is_common (const struct mq_key *key, const char *section, uint32_t kinds)
{
  return strcmp (key->section, section) == 0 && (key->kinds & kinds) == kinds;
}

static void
report_unknown_key (const struct mq_key_table *table,
                    const struct mq_ini_section *section, uint32_t kinds,
                    const struct mq_ini_pair *pair,
                    struct mq_error_list *errors)
{
  struct mq_hint hint;
  char allowed[MQ_SUBJECT_MAX];

  mq_hint_init (&hint, pair->key);
  for (size_t i = 0; i < table->key_count; i++)
    if (key_belongs (&table->keys[i], section->type, kinds))
      mq_hint_add (&hint, table->keys[i].name);
  mq_hint_format (&hint, allowed);
  mq_error_list_add (errors, MQ_ERR_TEXT_UNKNOWN_KEY, key_position (pair),
                     pair->key, allowed);
}

static void
write_choices (const struct mq_key *key, const char *word,
               char allowed[MQ_SUBJECT_MAX])
{
  struct mq_hint hint;

  mq_hint_init (&hint, word);
  for (const struct mq_key_choice *c = key->choices; c->word != NULL; c++)
    mq_hint_add (&hint, c->word);
  mq_hint_format (&hint, allowed);
}

static void
report_bad_value (const struct mq_key *key, const struct mq_ini_pair *pair,
                  enum mq_value_result result, struct mq_error_list *errors)
{
  bool budget = key->budget && result == MQ_VALUE_OUT_OF_RANGE;
  enum mq_error_type type
      = budget ? MQ_ERR_TEXT_BUDGET : MQ_ERR_TEXT_BAD_VALUE;
  char *allowed = mq_key_allowed (errors->ctx, key);
  char *subject;
  char near[MQ_SUBJECT_MAX];

  if (mq_value_is_public (key))
    subject = talloc_asprintf (errors->ctx, "%s = %s", pair->key, pair->value);
  else
    subject = talloc_strdup (errors->ctx, pair->key);
  if (key->type == MQ_KEY_CHOICE)
    write_choices (key, pair->value, near);
  mq_error_list_add (errors, type, value_position (pair), subject,
                     key->type == MQ_KEY_CHOICE ? near : allowed);
  talloc_free (allowed);
  talloc_free (subject);
}

static void
report_second (const struct mq_ini_section *section,
               const struct mq_ini_pair *pair, struct mq_error_list *errors)
{
  const struct mq_ini_pair *first = mq_ini_find (section, pair->key);
  char *allowed
      = talloc_asprintf (errors->ctx, "first given in line %u", first->line);

  mq_error_list_add (errors, MQ_ERR_TEXT_DUPLICATE, key_position (pair),
                     pair->key, allowed);
  talloc_free (allowed);
}

static void
report_missing_key (const struct mq_key *key,
                    const struct mq_ini_section *section,
                    struct mq_error_list *errors)
{
  char *subject = talloc_asprintf (
      errors->ctx, "%s of [%s%s%s]", key->name, section->type,
      *section->name == '\0' ? "" : " ", section->name);
  char *allowed = mq_key_allowed (errors->ctx, key);

  mq_error_list_add (errors, MQ_ERR_TEXT_MISSING, header_position (section),
                     subject, allowed);
  talloc_free (subject);
  talloc_free (allowed);
}

static void
read_pair (TALLOC_CTX *ctx, const struct mq_key *key,
           const struct mq_ini_pair *pair, void *target,
           struct mq_error_list *errors)
{
  enum mq_value_result result = mq_value_read (ctx, key, pair->value, target);

  if (result != MQ_VALUE_OK)
    report_bad_value (key, pair, result, errors);
}

static void
fill_absent (TALLOC_CTX *ctx, const struct mq_key *key,
             const struct mq_ini_section *section, void *target,
             struct mq_error_list *errors)
{
  if (key->required)
    report_missing_key (key, section, errors);
  else if (key->fallback != NULL)
    mq_value_read (ctx, key, key->fallback, target);
}

void
mq_key_read_section (TALLOC_CTX *ctx, const struct mq_key_table *table,
                     const struct mq_ini_section *section, uint32_t kinds,
                     void *target, struct mq_error_list *errors)
{
  uint64_t seen = 0;

  for (size_t i = 0; i < section->pair_count; i++)
    {
      const struct mq_ini_pair *pair = &section->pairs[i];
      const struct mq_key *key = mq_key_find (table, section->type, pair->key);
      uint64_t bit;

      if (key == NULL || !key_belongs (key, section->type, kinds))
        {
          report_unknown_key (table, section, kinds, pair, errors);
          continue;
        }
      bit = 1ULL << (key - table->keys);
      if ((seen & bit) != 0 && key->type != MQ_KEY_LINES)
        report_second (section, pair, errors);
      else
        read_pair (ctx, key, pair, target, errors);
      seen |= bit;
    }
  for (size_t i = 0; i < table->key_count; i++)
    if ((seen & 1ULL << i) == 0
        && key_is_common (&table->keys[i], section->type, kinds))
      fill_absent (ctx, &table->keys[i], section, target, errors);
}

uint32_t
mq_key_section_kinds (const struct mq_key_table *table,
                      const struct mq_ini_section *section, const char *name)
{
  const struct mq_ini_pair *pair = mq_ini_find (section, name);
  struct mq_key key = *mq_key_find (table, section->type, name);
  int kind;

  key.offset = 0;
  if (pair == NULL
      || mq_value_read (NULL, &key, pair->value, &kind) != MQ_VALUE_OK)
    return MQ_KEY_ALL_KINDS;
  return MQ_KIND_BIT (kind);
}
