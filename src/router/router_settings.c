/* router_settings.c - settings file of a router, INI.

   Needs: router_settings.h, settings_file.h.  */

#include "router_settings.h"
#include "daemon/settings_file.h"
#include <stdlib.h>
#include <string.h>

/* Reserved at the end of stop_seconds, so that the process exits before it is
   killed.  */
#define STOP_MARGIN_MS 1200U
/* Time until a load balancer has removed a host: two missed health checks, one
   second apart, and a margin.  */
#define SETTLE_MS 2600U

/* Expired records are not removed right after a start, when the host and,
   after a large outage, the table are busy.  */
#define CLEAN_AFTER_MS 60000U
/* Interval between searches for expired records; a few hosts cover all parts
   of the table within minutes.  */
#define CLEAN_LOOK_MS 4000U

struct router_section
{
  struct mq_router_settings settings;
  const char *stop_seconds;
  const char *limit_window_seconds;
  const char *limit_over;
};

#define FIELD(field) offsetof (struct router_section, settings.field)

static const struct mq_key keys[] = {
  { .section = "router",
    .name = "host",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_STRING,
    .required = true,
    .min = 1,
    .max = MQ_NAME_MAX - 1,
    .offset = FIELD (host),
    .help = "name of this host" },
  { .section = "router",
    .name = "data_centre",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_STRING,
    .required = true,
    .min = 1,
    .max = MQ_NAME_MAX - 1,
    .offset = FIELD (data_centre),
    .help = "data centre of this host" },
  { .section = "router",
    .name = "http",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_ADDRESS,
    .required = true,
    .offset = FIELD (http),
    .help = "listen address for callers" },
  { .section = "router",
    .name = "ready",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_ADDRESS,
    .required = true,
    .offset = FIELD (ready),
    .help = "listen address for the load balancer's readiness check and for "
            "/metrics" },
  { .section = "router",
    .name = "peer",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_ADDRESS,
    .required = true,
    .offset = FIELD (peer),
    .help = "listen address for other routing hosts" },
  { .section = "router",
    .name = "seeds",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_STRING,
    .max = 1024,
    .fallback = "",
    .offset = FIELD (seeds),
    .help
    = "peer addresses of some other routing hosts, separated by commas" },
  { .section = "router",
    .name = "table",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_ADDRESS,
    .required = true,
    .offset = FIELD (table),
    .help = "URL of the platform's table" },
  { .section = "router",
    .name = "memory_mb",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_UINT32,
    .min = 16,
    .max = 1048576,
    .fallback = "128",
    .offset = FIELD (memory_mb),
    .help = "memory limit of the process, in MiB" },
  { .section = "router",
    .name = "stop_seconds",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_STRING,
    .min = 1,
    .max = 16,
    .fallback = "8",
    .offset = offsetof (struct router_section, stop_seconds),
    .help = "time limit of a planned shutdown; fractions are allowed" },
  { .section = "router",
    .name = "drain_ms",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_UINT32,
    .min = 0,
    .max = 3600000,
    .fallback = "0",
    .offset = FIELD (drain_ms),
    .help = "time for which a leaving worker still serves, in milliseconds" },
  { .section = "router",
    .name = "limit_window_seconds",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_STRING,
    .min = 1,
    .max = 16,
    .fallback = "5",
    .offset = offsetof (struct router_section, limit_window_seconds),
    .help = "window in which requests over a limit are counted; fractions are "
            "allowed" },
  { .section = "router",
    .name = "limit_over",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_STRING,
    .min = 1,
    .max = 16,
    .fallback = "0",
    .offset = offsetof (struct router_section, limit_over),
    .help = "fraction by which an organisation may exceed its limit" },
  { .section = "router",
    .name = "limit_slack",
    .kinds = MQ_KEY_ALL_KINDS,
    .type = MQ_KEY_UINT32,
    .min = 0,
    .max = 1048576,
    .fallback = "0",
    .offset = FIELD (limit_slack),
    .help = "further requests allowed above that fraction" },
};

static const struct mq_key_section sections[] = {
  { .type = "router", .shape = "[router]", .once = true },
};

#define COUNT(array) (sizeof (array) / sizeof (array)[0])

const struct mq_key_table *
mq_router_settings_keys (void)
{
  static const struct mq_key_table table = {
    .keys = keys,
    .key_count = COUNT (keys),
    .sections = sections,
    .section_count = COUNT (sections),
  };

  return &table;
}

/**
 * struct fraction - range of a key with a fractional value
 */
struct fraction
{
  const char *name;
  double least;
  double most;
  const char *allowed;
};

/* Up to a day.  */
static const struct fraction stop_seconds
    = { "stop_seconds", 1.0, 86400.0, "1 to 86400" };
static const struct fraction limit_window
    = { "limit_window_seconds", 0.1, 3600.0, "0.1 to 3600" };
static const struct fraction limit_over = { "limit_over", 0.0, 1.0, "0 to 1" };

/* Converts TEXT to thousandths; returns false and adds an error to LIST if it
   is out of range.  */
static bool
read_fraction (const struct fraction *key, const char *text,
               const struct mq_ini *ini, struct mq_error_list *list,
               uint32_t *thousandths)
{
  const struct mq_ini_pair *pair = mq_ini_find (&ini->sections[0], key->name);
  struct mq_text_position place = { 1, 1 };
  char *end = NULL;
  double number = strtod (text, &end);

  if (end != text && *end == '\0' && number >= key->least
      && number <= key->most)
    {
      *thousandths = (uint32_t)(number * 1000.0);
      return true;
    }
  if (pair != NULL)
    place = (struct mq_text_position){ pair->line, pair->value_column };
  mq_error_list_add (list, MQ_ERR_TEXT_BAD_VALUE, place, key->name,
                     key->allowed);
  return false;
}

static void
read_fractions (struct router_section *section, const struct mq_ini *ini,
                struct mq_error_list *list)
{
  uint32_t ms = 0;

  (void)read_fraction (&limit_window, section->limit_window_seconds, ini, list,
                       &section->settings.limit_window_ms);
  (void)read_fraction (&limit_over, section->limit_over, ini, list,
                       &section->settings.limit_over_permille);
  if (!read_fraction (&stop_seconds, section->stop_seconds, ini, list, &ms))
    return;
  section->settings.stop_ms
      = ms > 2 * STOP_MARGIN_MS ? ms - STOP_MARGIN_MS : ms / 2;
  section->settings.settle_ms = SETTLE_MS < section->settings.stop_ms / 2
                                    ? SETTLE_MS
                                    : section->settings.stop_ms / 2;
}

static void
read_section (struct mq_router_settings *settings, const struct mq_ini *ini,
              struct mq_error_list *list)
{
  struct router_section section = { .stop_seconds = "" };

  for (size_t i = 0; i < ini->section_count; i++)
    if (strcmp (ini->sections[i].type, "router") == 0)
      {
        mq_key_read_section (settings, mq_router_settings_keys (),
                             &ini->sections[i], MQ_KEY_ALL_KINDS, &section,
                             list);
        if (list->errors->count == 0)
          read_fractions (&section, ini, list);
        section.settings.clean_after_ms = CLEAN_AFTER_MS;
        section.settings.clean_look_ms = CLEAN_LOOK_MS;
        *settings = section.settings;
        return;
      }
}

struct mq_router_settings *
mq_router_settings_parse (TALLOC_CTX *ctx, const char *source, size_t len,
                          struct mq_text_errors *errors)
{
  struct mq_router_settings *settings
      = talloc_zero (ctx, struct mq_router_settings);
  struct mq_error_list list = { ctx, errors };
  struct mq_ini *ini;

  memset (errors, 0, sizeof *errors);
  ini = mq_ini_read (settings, source, len, &list);
  if (ini != NULL)
    {
      talloc_free (mq_key_check_headers (settings, mq_router_settings_keys (),
                                         ini, &list));
      read_section (settings, ini, &list);
    }
  if (errors->count == 0 && ini != NULL)
    return settings;
  mq_error_list_sort (&list);
  talloc_free (settings);
  return NULL;
}

struct mq_router_settings *
mq_router_settings_read (TALLOC_CTX *ctx, const char *file,
                         struct mq_text_errors *errors)
{
  struct mq_router_settings *settings;
  size_t len = 0;
  char *source = mq_settings_file_read (ctx, file, &len, errors);

  if (source == NULL)
    return NULL;
  settings = mq_router_settings_parse (ctx, source, len, errors);
  talloc_free (source);
  return settings;
}
