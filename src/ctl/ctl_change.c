/* ctl_change.c - commands of mimosactl for the configuration: show, diff and
   apply.

   Needs: ctl_run.h, ctl_config.h, ctl_fleet.h, text_diff.h.  */

#include "core/text/text_diff.h"
#include "ctl_config.h"
#include "ctl_fleet.h"
#include "ctl_run.h"
#include <stdlib.h>
#include <string.h>

#define APPLY_RETRY_MS 10000U
#define MS_PER_S 1000U

/* The configuration in force and the text of a file.  */
struct change
{
  const struct mq_ctl_run *run;
  struct mq_ctl *ctl;
  const char *file;
  char *source;
  size_t len;
  struct mq_text *text;
  struct mq_ctl_config *now;
};

static json_t *
diff_json (const struct mq_ctl_run *run, const struct mq_text_diff *diff)
{
  char *text = mq_text_diff_json (run->ctx, diff);
  json_t *root = json_loads (text == NULL ? "{}" : text, 0, NULL);
  json_t *changes = json_incref (json_object_get (root, "changes"));

  json_decref (root);
  return changes;
}

static const char *
format_id (TALLOC_CTX *ctx, const uint8_t id[MQ_APPLY_ID_BYTES])
{
  char *text = talloc_strdup (ctx, "");

  for (size_t i = 0; i < MQ_APPLY_ID_BYTES; i++)
    text = talloc_asprintf_append (text, "%02x", id[i]);
  return text;
}

static void
print_json (const struct mq_ctl_run *run, json_t *value)
{
  fputs (mq_ctl_json_line (run->ctx, value), run->out);
}

/* show  */

enum mq_ctl_exit
mq_ctl_show (const struct mq_ctl_run *run, const char *none)
{
  enum mq_ctl_exit code;
  struct mq_ctl *ctl = mq_ctl_connect (run, &code);
  struct mq_error error = { 0 };
  struct mq_ctl_config *now;

  (void)none;
  if (ctl == NULL)
    return code;
  now = mq_ctl_config_read (ctl, run->ctx, &error);
  if (now == NULL)
    code = mq_ctl_report_error (run, &error);
  else if (run->json)
    print_json (run,
                json_pack ("{sI ss ss}", "version", (json_int_t)now->version,
                           "apply_id", format_id (run->ctx, now->apply_id),
                           "text", now->source));
  else if (now->version == 0)
    fputs ("; no text is in force yet\n", run->out);
  else
    fprintf (run->out, "; version %llu, apply id %s\n%s",
             (unsigned long long)now->version,
             format_id (run->ctx, now->apply_id), now->source);
  mq_ctl_destroy (ctl);
  return now == NULL ? code : MQ_CTL_OK;
}

/* diff  */

/* Parses the text in force; NULL if there is none.  Warns and returns NULL if
   it does not parse, as when a newer release wrote it.  */
static struct mq_text *
parse_now (const struct change *change)
{
  struct mq_text_errors errors = { 0 };
  struct mq_text *text;

  if (change->now->version == 0)
    return NULL;
  text = mq_text_parse (change->run->ctx, change->now->source,
                        change->now->len, &errors);
  if (text == NULL)
    fprintf (change->run->err,
             "mimosactl: this release cannot parse the text in force; the "
             "difference shows every key as added\n");
  return text;
}

static struct mq_text_diff *
make_diff (const struct change *change)
{
  return mq_text_diff_create (change->run->ctx, parse_now (change),
                              change->text);
}

static enum mq_ctl_exit
open_change (struct change *change)
{
  enum mq_ctl_exit code = MQ_CTL_OK;
  struct mq_error error = { 0 };

  change->text = mq_ctl_read_text (change->run, change->file, &change->source,
                                   &change->len, &code);
  if (change->text == NULL)
    return code;
  change->ctl = mq_ctl_connect (change->run, &code);
  if (change->ctl == NULL)
    return code;
  change->now = mq_ctl_config_read (change->ctl, change->run->ctx, &error);
  if (change->now == NULL)
    return mq_ctl_report_error (change->run, &error);
  return MQ_CTL_OK;
}

static void
print_diff (const struct change *change)
{
  const struct mq_ctl_run *run = change->run;
  struct mq_text_diff *diff = make_diff (change);

  if (run->json)
    print_json (run, json_pack ("{sI so}", "version",
                                (json_int_t)change->now->version, "changes",
                                diff_json (run, diff)));
  else
    fprintf (run->out, "version in force: %llu\n%s",
             (unsigned long long)change->now->version,
             mq_text_diff_text (run->ctx, diff));
}

enum mq_ctl_exit
mq_ctl_diff (const struct mq_ctl_run *run, const char *file)
{
  struct change change = { .run = run, .file = file };
  enum mq_ctl_exit code = open_change (&change);

  if (code == MQ_CTL_OK)
    print_diff (&change);
  mq_ctl_destroy (change.ctl);
  return code;
}

/* apply  */

static enum mq_ctl_exit
report_missing_base (const struct change *change)
{
  unsigned long long version = change->now->version;
  char *subject = talloc_asprintf (
      change->run->ctx, "--base is not given; version in force: %llu",
      version);
  char *allowed = talloc_asprintf (
      change->run->ctx, "look at 'mimosactl diff %s', then: --base %llu",
      change->file, version);
  struct mq_error error;

  mq_error_set (&error, MQ_ERR_BAD_REQUEST, subject, allowed);
  return mq_ctl_report_error (change->run, &error);
}

/* Guards against a change of the number of partitions, after which programs
   would be looked up in the wrong partition.  */
static const struct mq_text_change *
refused_change (const struct change *change)
{
  if (change->now->version != change->run->base)
    return NULL;
  return mq_text_diff_refused (make_diff (change));
}

static enum mq_ctl_exit
report_refused_change (const struct change *change,
                       const struct mq_text_change *refused)
{
  char *subject
      = talloc_asprintf (change->run->ctx, "%s: %s -> %s", refused->key,
                         refused->before, refused->after);
  char *allowed
      = talloc_asprintf (change->run->ctx, "only %s", refused->before);
  struct mq_error error;

  mq_error_set (&error, MQ_ERR_TEXT_BAD_VALUE, subject, allowed);
  mq_ctl_report_error (change->run, &error);
  return MQ_CTL_BAD_INPUT;
}

static enum mq_ctl_exit
report_conflict (const struct change *change)
{
  const struct mq_ctl_run *run = change->run;

  fprintf (run->err,
           "mimosactl: not applied: version %llu is in force, not %llu; what "
           "%s would change:\n",
           (unsigned long long)change->now->version,
           (unsigned long long)run->base, change->file);
  if (run->json)
    print_json (run, json_pack ("{ss sI so}", "result", "conflict", "version",
                                (json_int_t)change->now->version, "changes",
                                diff_json (run, make_diff (change))));
  else
    print_diff (change);
  return MQ_CTL_CONFLICT;
}

static enum mq_ctl_exit
report_unknown (const struct change *change)
{
  struct mq_error error;

  mq_error_set (
      &error, MQ_ERR_STORE_DOWN,
      "the table's response was lost: the text may have been, or may "
      "yet be accepted",
      "look at 'mimosactl show' before the next apply");
  return mq_ctl_report_error (change->run, &error);
}

static enum mq_ctl_exit
report_failed (const struct change *change)
{
  struct mq_error error;

  mq_error_set (&error, MQ_ERR_STORE_DOWN, "not applied: the platform's table",
                "");
  return mq_ctl_report_error (change->run, &error);
}

static void
show_progress (const struct mq_ctl_rollout *rollout, void *user)
{
  const struct mq_ctl_run *run = user;

  fprintf (run->err, "%zu of %zu hosts hold it\n", rollout->holders,
           rollout->hosts);
}

static void
print_accepted (const struct change *change,
                const struct mq_ctl_rollout *rollout)
{
  const struct mq_ctl_run *run = change->run;
  uint64_t version = change->now->version;
  const char *id = format_id (run->ctx, change->now->apply_id);

  if (run->json)
    print_json (
        run,
        json_pack ("{ss sI ss so*}", "result", "accepted", "version",
                   (json_int_t)version, "apply_id", id, "spread",
                   rollout == NULL ? NULL : mq_ctl_rollout_json (rollout)));
  else if (rollout != NULL)
    fputs (mq_ctl_rollout_text (run->ctx, rollout, version), run->out);
}

/* An accepted version is in force at a host only when the host reports it.  */
static enum mq_ctl_exit
wait_for_hosts (const struct change *change, const char *how)
{
  const struct mq_ctl_run *run = change->run;
  struct mq_ctl_rollout *rollout = NULL;
  struct mq_error error = { 0 };

  if (!run->json)
    {
      fprintf (run->out, "%s as version %llu, apply id %s\n", how,
               (unsigned long long)change->now->version,
               format_id (run->ctx, change->now->apply_id));
      fflush (run->out);
    }
  if (run->wait_seconds > 0)
    rollout = mq_ctl_fleet_wait (change->ctl, run->ctx, change->now->version,
                                 run->wait_seconds * MS_PER_S, show_progress,
                                 (void *)run, &error);
  print_accepted (change, rollout);
  if (run->wait_seconds == 0)
    return MQ_CTL_OK;
  if (rollout == NULL)
    {
      char *line = mq_ctl_error_line (run->ctx, NULL, &error);

      fprintf (run->err,
               "mimosactl: accepted, but the hosts' versions are unknown: "
               "%s\n",
               line);
      return MQ_CTL_FAILED;
    }
  return rollout->complete ? MQ_CTL_OK : MQ_CTL_FAILED;
}

static bool
is_in_force (const struct change *change)
{
  return change->now->version == change->run->base && change->run->base > 0
         && change->now->len == change->len
         && memcmp (change->now->source, change->source, change->len) == 0;
}

static enum mq_ctl_exit
apply_change (struct change *change)
{
  const struct mq_text_change *refused = refused_change (change);
  struct mq_apply apply = { .base = change->run->base,
                            .source = change->source,
                            .len = change->len,
                            .give_up_ms = APPLY_RETRY_MS };
  struct mq_ctl_config *now = NULL;
  enum mq_apply_result result;

  if (refused != NULL)
    return report_refused_change (change, refused);
  if (is_in_force (change))
    return wait_for_hosts (change, "already accepted");
  result = mq_ctl_config_apply (change->ctl, change->run->ctx, &apply, &now);
  if (now != NULL)
    change->now = now;
  switch (result)
    {
    case MQ_APPLY_ACCEPTED:
      return wait_for_hosts (change, "accepted");
    case MQ_APPLY_CONFLICT:
      return report_conflict (change);
    case MQ_APPLY_FAILED:
      return report_failed (change);
    case MQ_APPLY_UNKNOWN:
      break;
    }
  return report_unknown (change);
}

enum mq_ctl_exit
mq_ctl_apply (const struct mq_ctl_run *run, const char *file)
{
  struct change change = { .run = run, .file = file };
  enum mq_ctl_exit code = open_change (&change);

  if (code == MQ_CTL_OK)
    code = run->base == MQ_CTL_NO_BASE ? report_missing_base (&change)
                                       : apply_change (&change);
  mq_ctl_destroy (change.ctl);
  return code;
}
