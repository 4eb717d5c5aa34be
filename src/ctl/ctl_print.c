/* ctl_print.c - formats errors, keys and rollouts as text and as JSON.

   Needs: ctl_print.h.  */

#include "ctl_print.h"
#include <stdlib.h>
#include <string.h>

/* Errors.  */

char *
mq_ctl_error_line (TALLOC_CTX *ctx, const char *file,
                   const struct mq_error *error)
{
  char *line = talloc_strdup (ctx, "");

  if (file != NULL)
    line = talloc_asprintf_append (line, "%s:%u:%u: ", file, error->line,
                                   error->column);
  line = talloc_asprintf_append (line, "%s: %s (",
                                 mq_error_cause (error->type), error->subject);
  if (error->allowed[0] != '\0')
    line = talloc_asprintf_append (line, "allowed: %s; ", error->allowed);
  return talloc_asprintf_append (line, "%s)", mq_error_remedy (error->type));
}

json_t *
mq_ctl_error_json (const struct mq_error *error)
{
  return json_pack (
      "{sI sI ss ss ss ss ss}", "line", (json_int_t)error->line, "column",
      (json_int_t)error->column, "type", mq_error_name (error->type), "cause",
      mq_error_cause (error->type), "subject", error->subject, "allowed",
      error->allowed, "remedy", mq_error_remedy (error->type));
}

char *
mq_ctl_errors_text (TALLOC_CTX *ctx, const char *file,
                    const struct mq_text_errors *errors)
{
  char *text = talloc_strdup (ctx, "");

  for (size_t i = 0; i < errors->count; i++)
    {
      char *line = mq_ctl_error_line (text, file, &errors->items[i]);

      text = talloc_asprintf_append_buffer (text, "%s\n", line);
      talloc_free (line);
    }
  return text;
}

json_t *
mq_ctl_errors_json (const char *file, const struct mq_text_errors *errors)
{
  json_t *items = json_array ();

  for (size_t i = 0; i < errors->count; i++)
    json_array_append_new (items, mq_ctl_error_json (&errors->items[i]));
  return json_pack ("{ss so}", "file", file, "errors", items);
}

/* Keys.  */

/* Lists the kinds of section that have the key; "" if all have it.  */
static char *
kinds_text (TALLOC_CTX *ctx, const struct mq_key_section *section,
            const struct mq_key *key)
{
  char *text = talloc_strdup (ctx, "");

  if (section->kinds == NULL || key->kinds == MQ_KEY_ALL_KINDS)
    return text;
  for (size_t i = 0; section->kinds[i] != NULL; i++)
    if ((key->kinds & MQ_KIND_BIT (i)) != 0)
      text = talloc_asprintf_append (text, "%s%s", *text == '\0' ? "" : ", ",
                                     section->kinds[i]);
  return text;
}

static char *
append_key (char *text, const struct mq_key_section *section,
            const struct mq_key *key)
{
  char *kinds = kinds_text (text, section, key);
  char *allowed = mq_key_allowed (text, key);

  text = talloc_asprintf_append_buffer (text, "  %s = %s\n      %s\n",
                                        key->name, allowed, key->help);
  if (*kinds != '\0')
    text = talloc_asprintf_append_buffer (text, "      only: %s\n", kinds);
  if (key->required)
    text = talloc_strdup_append_buffer (text, "      required\n");
  else
    text = talloc_asprintf_append_buffer (
        text, "      default: %s\n",
        *key->fallback == '\0' ? "(empty)" : key->fallback);
  if (key->effect != NULL)
    text = talloc_asprintf_append_buffer (text, "      a change: %s\n",
                                          key->effect);
  talloc_free (kinds);
  talloc_free (allowed);
  return text;
}

char *
mq_ctl_keys_text (TALLOC_CTX *ctx, const struct mq_key_table *table)
{
  char *text = talloc_strdup (ctx, "");

  for (size_t i = 0; i < table->section_count; i++)
    {
      const struct mq_key_section *section = &table->sections[i];

      text = talloc_asprintf_append_buffer (text, "%s\n", section->shape);
      for (size_t j = 0; j < table->key_count; j++)
        if (strcmp (table->keys[j].section, section->type) == 0)
          text = append_key (text, section, &table->keys[j]);
    }
  return text;
}

static json_t *
key_json (const char *file, const struct mq_key_section *section,
          const struct mq_key *key)
{
  char *kinds = kinds_text (NULL, section, key);
  char *allowed = mq_key_allowed (kinds, key);
  json_t *json
      = json_pack ("{ss ss ss ss ss sb ss? ss ss?}", "file", file, "section",
                   section->shape, "key", key->name, "only", kinds, "allowed",
                   allowed, "required", (int)key->required, "default",
                   key->fallback, "help", key->help, "effect", key->effect);

  talloc_free (kinds);
  return json;
}

json_t *
mq_ctl_keys_json (const char *file, const struct mq_key_table *table)
{
  json_t *items = json_array ();

  for (size_t i = 0; i < table->section_count; i++)
    for (size_t j = 0; j < table->key_count; j++)
      if (strcmp (table->keys[j].section, table->sections[i].type) == 0)
        json_array_append_new (
            items, key_json (file, &table->sections[i], &table->keys[j]));
  return items;
}

/* Rollouts.  */

static char *
missing_reason (TALLOC_CTX *ctx, const struct mq_ctl_outdated_host *missing)
{
  const char *leaving = missing->leaving ? ", leaving" : "";

  if (missing->error != MQ_ERR_NONE)
    return talloc_asprintf (ctx, "no answer: %s%s",
                            mq_error_name (missing->error), leaving);
  return talloc_asprintf (ctx, "holds version %llu%s",
                          (unsigned long long)missing->version, leaving);
}

char *
mq_ctl_rollout_text (TALLOC_CTX *ctx, const struct mq_ctl_rollout *rollout,
                     uint64_t version)
{
  char *text = talloc_asprintf (ctx, "%zu of %zu hosts hold version %llu\n",
                                rollout->holders, rollout->hosts,
                                (unsigned long long)version);

  for (size_t i = 0; i < rollout->missing_count; i++)
    {
      char *reason = missing_reason (text, &rollout->missing[i]);

      text = talloc_asprintf_append_buffer (text, "  missing: %s (%s)\n",
                                            rollout->missing[i].host, reason);
      talloc_free (reason);
    }
  return text;
}

json_t *
mq_ctl_rollout_json (const struct mq_ctl_rollout *rollout)
{
  json_t *items = json_array ();

  for (size_t i = 0; i < rollout->missing_count; i++)
    {
      const struct mq_ctl_outdated_host *missing = &rollout->missing[i];

      json_array_append_new (
          items, json_pack ("{ss ss sI sb}", "host", missing->host, "error",
                            mq_error_name (missing->error), "config_version",
                            (json_int_t)missing->version, "leaving",
                            (int)missing->leaving));
    }
  return json_pack ("{sI sI sb so}", "hosts", (json_int_t)rollout->hosts,
                    "holders", (json_int_t)rollout->holders, "complete",
                    (int)rollout->complete, "missing", items);
}

char *
mq_ctl_json_line (TALLOC_CTX *ctx, json_t *value)
{
  char *dump = json_dumps (value, JSON_COMPACT);
  char *text = talloc_asprintf (ctx, "%s\n", dump == NULL ? "null" : dump);

  free (dump);
  json_decref (value);
  return text;
}
