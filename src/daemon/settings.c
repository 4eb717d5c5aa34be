/* settings.c - parser of a daemon's settings file, in INI format.

   Needs: settings.h, settings_file.h.  */

#include "settings.h"
#include "core/limits.h"
#include "core/owner/place.h"
#include "settings_file.h"
#include <stdlib.h>
#include <string.h>

#define ENTRYD MQ_KIND_BIT (MQ_HOST_ENTRY)
#define TARGETD MQ_KIND_BIT (MQ_HOST_TARGET)
#define MODEL MQ_KIND_BIT (MQ_SERVICE_MODEL)

static const struct mq_key_choice policy_choices[]
    = { { "finish", MQ_POLICY_FINISH },
        { "round-robin", MQ_POLICY_ROUND_ROBIN },
        { "least-loaded", MQ_POLICY_LEAST_LOADED },
        { "prefix-hash", MQ_POLICY_PREFIX_HASH },
        { NULL, 0 } };

static const struct mq_key_choice order_choices[] = {
  { "fifo", MQ_GATE_FIFO }, { "attained", MQ_GATE_ATTAINED }, { NULL, 0 }
};

static const struct mq_key_choice commit_choices[]
    = { { "output", false }, { "each_step", true }, { NULL, 0 } };

static const struct mq_key_choice kind_choices[]
    = { { "model", MQ_SERVICE_MODEL },
        { "plain", MQ_SERVICE_PLAIN },
        { "tool", MQ_SERVICE_TOOL },
        { NULL, 0 } };

/* Values of the keys of a section.  */
struct process_section
{
  struct mq_settings settings;
  enum mq_policy policy;
  int commit_each_step;
};

struct worker_section
{
  struct mq_gate_worker worker;
  const char *url;
};

#define PROCESS(field) offsetof (struct process_section, settings.field)
#define WORKER(field) offsetof (struct worker_section, worker.field)

static const struct mq_key keys[] = {
  /* [process] */
  { .section = "process",
    .name = "host",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_NAME,
    .required = true,
    .offset = PROCESS (host),
    .help = "name of this host, as in the platform's host list" },
  { .section = "process",
    .name = "data_centre",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_NAME,
    .required = true,
    .offset = PROCESS (data_centre),
    .help = "data centre of this host" },
  { .section = "process",
    .name = "region",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_NAME,
    .fallback = "main",
    .offset = PROCESS (region),
    .help = "region of the data centre" },
  { .section = "process",
    .name = "http",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_ADDRESS,
    .required = true,
    .offset = PROCESS (http),
    .help = "listen address for callers (entryd) and operators" },
  { .section = "process",
    .name = "peer",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_ADDRESS,
    .required = true,
    .offset = PROCESS (peer),
    .help = "listen address for other processes of the site" },
  { .section = "process",
    .name = "platform",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_URL,
    .required = true,
    .offset = PROCESS (platform),
    .help = "URL of the platform's table, object store and host list" },
  { .section = "process",
    .name = "site_key",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_HEX_32,
    .required = true,
    .offset = PROCESS (site_key),
    .help = "shared secret with which processes of a site authenticate to "
            "each other" },
  { .section = "process",
    .name = "operator_key_sha256",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_HEX_32,
    .required = true,
    .offset = PROCESS (operator_key_hash),
    .help = "SHA-256 of the operators' key (mimosactl hash-key)" },
  { .section = "process",
    .name = "policy",
    .kinds = ENTRYD,
    .type = MQ_KEY_CHOICE,
    .fallback = "finish",
    .choices = policy_choices,
    .offset = offsetof (struct process_section, policy),
    .help = "placement policy of calls; all but finish are for comparison" },
  { .section = "process",
    .name = "commit",
    .kinds = ENTRYD,
    .type = MQ_KEY_CHOICE,
    .fallback = "output",
    .choices = commit_choices,
    .offset = offsetof (struct process_section, commit_each_step),
    .help = "what waits for commits: output or each step; each_step is for "
            "comparison" },
  { .section = "process",
    .name = "order",
    .kinds = TARGETD,
    .type = MQ_KEY_CHOICE,
    .fallback = "attained",
    .choices = order_choices,
    .offset = PROCESS (order),
    .help = "scheduling order of queued calls; fifo is for comparison" },
  { .section = "process",
    .name = "drain_seconds",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_UINT32,
    .min = 1,
    .max = 86400,
    .fallback = "120",
    .offset = PROCESS (drain_seconds),
    .help = "time limit of a planned shutdown, after which it is forced" },
  { .section = "process",
    .name = "stream_buffer_kb",
    .kinds = ENTRYD,
    .type = MQ_KEY_UINT32,
    .min = 16,
    .max = 65536,
    .fallback = "1024",
    .offset = PROCESS (stream_buffer_kb),
    .help
    = "maximum unsent data of a stream; the stream is aborted above it" },
  /* [worker NAME] */
  { .section = "worker",
    .name = "service",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_NAME,
    .required = true,
    .offset = WORKER (service),
    .help
    = "name of the service that it serves, as in the configuration text" },
  { .section = "worker",
    .name = "kind",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_CHOICE,
    .required = true,
    .choices = kind_choices,
    .offset = WORKER (kind),
    .help = "kind of that service" },
  { .section = "worker",
    .name = "url",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_URL,
    .required = true,
    .offset = offsetof (struct worker_section, url),
    .help = "URL of the worker" },
  { .section = "worker",
    .name = "slots",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_UINT32,
    .min = 1,
    .max = 4096,
    .fallback = "8",
    .offset = WORKER (slots),
    .help = "maximum concurrent calls" },
  { .section = "worker",
    .name = "model",
    .kinds = MODEL,
    .type = MQ_KEY_STRING,
    .required = true,
    .min = 1,
    .max = MQ_NAME_MAX - 1,
    .offset = WORKER (model),
    .help = "name of the model that it serves" },
  { .section = "worker",
    .name = "cache_tokens",
    .kinds = MODEL,
    .type = MQ_KEY_UINT32,
    .min = 0,
    .max = UINT32_MAX,
    .fallback = "0",
    .offset = WORKER (cache_tokens),
    .help = "cache capacity in tokens, 0 if unknown" },
};

static const char *const roles[] = { "entryd", "targetd", NULL };
static const char *const worker_kinds[]
    = { "agent", "model", "plain", "tool", NULL };

static const struct mq_key_section sections[] = {
  { .type = "process", .shape = "[process]", .once = true, .kinds = roles },
  { .type = "worker",
    .shape = "[worker NAME]",
    .named = true,
    .kinds = worker_kinds },
};

#define COUNT(array) (sizeof (array) / sizeof (array)[0])

const struct mq_key_table *
mq_settings_keys (void)
{
  static const struct mq_key_table table = {
    .keys = keys,
    .key_count = COUNT (keys),
    .sections = sections,
    .section_count = COUNT (sections),
  };

  return &table;
}

/* State of parsing one file.  */
struct settings_draft
{
  struct process_section process;
  struct mq_settings *settings;
  enum mq_host_role role;
  struct mq_ini *ini;
  const struct mq_key_section **rows;
  struct mq_error_list errors;
};

static void
report_section (struct settings_draft *draft,
                const struct mq_ini_section *section, const char *allowed)
{
  struct mq_text_position place = { section->line, section->name_column };

  mq_error_list_add (&draft->errors, MQ_ERR_TEXT_UNKNOWN_SECTION, place,
                     section->type, allowed);
}

static bool
add_worker (struct settings_draft *draft, const struct worker_section *worker)
{
  struct mq_settings *settings = draft->settings;
  size_t count = settings->worker_count;
  struct mq_gate_worker *workers = talloc_realloc (
      settings, settings->workers, struct mq_gate_worker, count + 1);
  const char **urls = talloc_realloc (settings, settings->worker_urls,
                                      const char *, count + 1);

  if (workers == NULL || urls == NULL)
    return false;
  workers[count] = worker->worker;
  urls[count] = worker->url;
  settings->workers = workers;
  settings->worker_urls = urls;
  settings->worker_count = count + 1;
  return true;
}

static void
read_worker (struct settings_draft *draft,
             const struct mq_ini_section *section)
{
  struct worker_section worker = { .worker.model = "" };
  uint32_t kinds = mq_key_section_kinds (mq_settings_keys (), section, "kind");

  if (draft->role != MQ_HOST_TARGET)
    {
      report_section (draft, section, "only mimosa-targetd has workers");
      return;
    }
  mq_key_read_section (draft->settings, mq_settings_keys (), section, kinds,
                       &worker, &draft->errors);
  if (!add_worker (draft, &worker))
    report_section (draft, section, "");
}

static void
read_sections (struct settings_draft *draft)
{
  for (size_t i = 0; i < draft->ini->section_count; i++)
    {
      const struct mq_ini_section *section = &draft->ini->sections[i];

      if (draft->rows[i] == NULL)
        continue;
      if (strcmp (section->type, "worker") == 0)
        read_worker (draft, section);
      else
        mq_key_read_section (draft->settings, mq_settings_keys (), section,
                             MQ_KIND_BIT (draft->role), &draft->process,
                             &draft->errors);
    }
}

/* Merges the keys of [process] into the result, which has the workers
   already.  */
static void
join_parts (struct settings_draft *draft)
{
  struct mq_settings *settings = draft->settings;
  struct mq_settings read = draft->process.settings;

  read.workers = settings->workers;
  read.worker_urls = settings->worker_urls;
  read.worker_count = settings->worker_count;
  read.commit_each_step = draft->process.commit_each_step != 0;
  read.policy = draft->role == MQ_HOST_ENTRY
                    ? policy_choices[draft->process.policy].word
                    : "";
  *settings = read;
}

static bool
fill_draft (struct settings_draft *draft, const char *source, size_t len)
{
  struct mq_settings *settings = draft->settings;

  draft->ini = mq_ini_read (settings, source, len, &draft->errors);
  if (draft->ini == NULL)
    return false;
  draft->rows = mq_key_check_headers (settings, mq_settings_keys (),
                                      draft->ini, &draft->errors);
  if (draft->rows == NULL)
    return false;
  read_sections (draft);
  join_parts (draft);
  talloc_free (draft->rows);
  talloc_free (draft->ini);
  return true;
}

/* A target host without a worker could serve no calls.  */
static void
check_workers (struct settings_draft *draft)
{
  struct mq_text_position start = { 1, 1 };

  if (draft->role == MQ_HOST_TARGET && draft->settings->worker_count == 0
      && draft->errors.errors->count == 0)
    mq_error_list_add (&draft->errors, MQ_ERR_TEXT_MISSING, start,
                       "[worker NAME]", "at least one for mimosa-targetd");
}

struct mq_settings *
mq_settings_parse (TALLOC_CTX *ctx, enum mq_host_role role, const char *source,
                   size_t len, struct mq_text_errors *errors)
{
  struct settings_draft draft = { .role = role };
  struct mq_text_position start = { 1, 1 };

  memset (errors, 0, sizeof *errors);
  draft.errors.ctx = ctx;
  draft.errors.errors = errors;
  draft.settings = talloc_zero (ctx, struct mq_settings);
  if (draft.settings != NULL && fill_draft (&draft, source, len))
    check_workers (&draft);
  else if (errors->count == 0)
    mq_error_list_add (&draft.errors, MQ_ERR_NO_MEMORY, start, "settings", "");
  if (errors->count == 0)
    return draft.settings;
  mq_error_list_sort (&draft.errors);
  talloc_free (draft.settings);
  return NULL;
}

struct mq_settings *
mq_settings_read (TALLOC_CTX *ctx, enum mq_host_role role, const char *file,
                  struct mq_text_errors *errors)
{
  struct mq_settings *settings;
  size_t len = 0;
  char *source = mq_settings_file_read (ctx, file, &len, errors);

  if (source == NULL)
    return NULL;
  settings = mq_settings_parse (ctx, role, source, len, errors);
  talloc_free (source);
  return settings;
}
