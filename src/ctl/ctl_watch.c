/* ctl_watch.c - commands of mimosactl for the hosts: status, trace and drain.

   Needs: ctl_run.h, ctl_config.h, ctl_status.h, ctl_trace.h,
   text_hint.h.  */

#include "core/text/text_hint.h"
#include "ctl_config.h"
#include "ctl_run.h"
#include "ctl_status.h"
#include "ctl_trace.h"
#include <stdlib.h>
#include <string.h>

#define SPANS_PATH "/v1/admin/spans/"
#define DRAIN_PATH "/v1/admin/drain"
#define STATUS_SUCCESS 200
#define STATUS_REDIRECT 300
#define STATUS_UNAUTHORISED 401
#define STATUS_FORBIDDEN 403

/* status  */

static uint32_t
text_partitions (const struct mq_ctl_run *run,
                 const struct mq_ctl_config *config)
{
  struct mq_text_errors errors = { 0 };
  struct mq_text *text
      = mq_text_parse (run->ctx, config->source, config->len, &errors);

  return text == NULL ? 0 : text->partitions;
}

/* If the table is unavailable, prints the error and leaves SITE unchanged, so
   that the hosts are still shown.  */
static void
add_config (const struct mq_ctl_run *run, struct mq_ctl *ctl,
            struct mq_ctl_site *site)
{
  struct mq_error error = { 0 };
  struct mq_ctl_config *config = mq_ctl_config_read (ctl, run->ctx, &error);

  if (config == NULL)
    {
      mq_ctl_report_error (run, &error);
      return;
    }
  site->version = config->version;
  site->partitions = text_partitions (run, config);
}

static size_t
count_reached (const struct mq_ctl_fleet *fleet)
{
  size_t reached = 0;

  for (size_t i = 0; i < fleet->count; i++)
    reached += fleet->items[i].status != NULL;
  return reached;
}

enum mq_ctl_exit
mq_ctl_status (const struct mq_ctl_run *run, const char *none)
{
  enum mq_ctl_exit code;
  struct mq_ctl *ctl = mq_ctl_connect (run, &code);
  struct mq_ctl_site site = { 0 };
  struct mq_ctl_fleet *fleet;
  struct mq_error error = { 0 };

  (void)none;
  if (ctl == NULL)
    return code;
  fleet = mq_ctl_fleet_read (ctl, run->ctx, &error);
  if (fleet == NULL)
    {
      code = mq_ctl_report_error (run, &error);
      mq_ctl_destroy (ctl);
      return code;
    }
  add_config (run, ctl, &site);
  site.fleet = fleet;
  if (run->json)
    fprintf (run->out, "%s\n", mq_ctl_status_json (run->ctx, &site));
  else
    fputs (mq_ctl_status_text (run->ctx, &site), run->out);
  code = fleet->count > 0 && count_reached (fleet) == 0 ? MQ_CTL_FAILED
                                                        : MQ_CTL_OK;
  talloc_free (fleet);
  mq_ctl_destroy (ctl);
  return code;
}

/* trace  */

/* Collects the spans of all hosts and prints the hosts that sent none.  */
static json_t *
collect_spans (const struct mq_ctl_run *run, const struct mq_ctl_fleet *fleet)
{
  json_t *spans = json_array ();

  for (size_t i = 0; i < fleet->count; i++)
    {
      const struct mq_ctl_host *host = &fleet->items[i];

      if (json_is_array (host->status))
        json_array_extend (spans, host->status);
      else
        fprintf (run->err, "mimosactl: no spans from %s: %s\n",
                 host->host->name,
                 mq_error_name (host->error == MQ_ERR_NONE ? MQ_ERR_BAD_ANSWER
                                                           : host->error));
    }
  return spans;
}

static enum mq_ctl_exit
print_trace (const struct mq_ctl_run *run, json_t *spans, struct mq_id program)
{
  enum mq_ctl_exit code
      = json_array_size (spans) == 0 ? MQ_CTL_FAILED : MQ_CTL_OK;

  if (run->json)
    fputs (mq_ctl_json_line (run->ctx, json_incref (spans)), run->out);
  else
    fputs (mq_ctl_trace_text (run->ctx, spans, program), run->out);
  return code;
}

static enum mq_ctl_exit
trace_program (const struct mq_ctl_run *run, struct mq_ctl *ctl,
               struct mq_id program)
{
  char id[MQ_ID_TEXT];
  struct mq_error error = { 0 };
  struct mq_host_list *list = mq_ctl_hosts (ctl, run->ctx, &error);
  struct mq_ctl_fleet *fleet;
  enum mq_ctl_exit code;
  json_t *spans;
  char *path;

  if (list == NULL)
    return mq_ctl_report_error (run, &error);
  mq_id_format (program, id);
  path = talloc_asprintf (run->ctx, SPANS_PATH "%s", id);
  fleet = mq_ctl_fleet_query (ctl, run->ctx, list, path);
  spans = collect_spans (run, fleet);
  code = print_trace (run, spans, program);
  json_decref (spans);
  talloc_free (fleet);
  return code;
}

enum mq_ctl_exit
mq_ctl_trace (const struct mq_ctl_run *run, const char *program)
{
  enum mq_ctl_exit code;
  struct mq_error error;
  struct mq_ctl *ctl;
  struct mq_id id;

  if (!mq_id_parse (program, &id))
    {
      mq_error_set (&error, MQ_ERR_BAD_REQUEST, program,
                    "a program's id: 32 lower-case hexadecimal digits");
      return mq_ctl_report_error (run, &error);
    }
  ctl = mq_ctl_connect (run, &code);
  if (ctl == NULL)
    return code;
  code = trace_program (run, ctl, id);
  mq_ctl_destroy (ctl);
  return code;
}

/* drain  */

static const struct mq_host *
find_host (const struct mq_host_list *list, const char *name,
           struct mq_error *error)
{
  struct mq_hint hint;
  char allowed[MQ_SUBJECT_MAX];

  mq_hint_init (&hint, name);
  for (size_t i = 0; i < list->count; i++)
    {
      if (strcmp (list->items[i].name, name) == 0)
        return &list->items[i];
      mq_hint_add (&hint, list->items[i].name);
    }
  mq_hint_format (&hint, allowed);
  mq_error_set (error, MQ_ERR_NOT_FOUND, name, allowed);
  return NULL;
}

/* Returns MQ_ERR_NONE if the host accepted the request to drain.  */
static enum mq_error_type
drain_result (const struct mq_ctl_fetch *fetch)
{
  if (fetch->error != MQ_ERR_NONE)
    return fetch->error;
  if (fetch->status == STATUS_UNAUTHORISED
      || fetch->status == STATUS_FORBIDDEN)
    return MQ_ERR_UNAUTHORISED;
  if (fetch->status >= STATUS_SUCCESS && fetch->status < STATUS_REDIRECT)
    return MQ_ERR_NONE;
  return MQ_ERR_BAD_ANSWER;
}

static enum mq_ctl_exit
drain_host (const struct mq_ctl_run *run, struct mq_ctl *ctl, const char *name)
{
  struct mq_error error = { 0 };
  struct mq_host_list *list = mq_ctl_hosts (ctl, run->ctx, &error);
  const struct mq_host *host
      = list == NULL ? NULL : find_host (list, name, &error);
  struct mq_ctl_fetch fetch = { .method = "POST", .path = DRAIN_PATH };
  enum mq_error_type type;

  if (host == NULL)
    return mq_ctl_report_error (run, &error);
  fetch.address = host->http;
  mq_ctl_fetch (ctl, run->ctx, &fetch, 1);
  type = drain_result (&fetch);
  if (type != MQ_ERR_NONE)
    {
      mq_error_set (&error, type, name, "");
      return mq_ctl_report_error (run, &error);
    }
  if (run->json)
    fputs (mq_ctl_json_line (run->ctx, json_pack ("{ss ss}", "host", name,
                                                  "result", "leaving")),
           run->out);
  else
    fprintf (run->out,
             "%s is leaving: it takes no new work, finishes what "
             "runs and then stops\n",
             name);
  return MQ_CTL_OK;
}

enum mq_ctl_exit
mq_ctl_drain (const struct mq_ctl_run *run, const char *host)
{
  enum mq_ctl_exit code;
  struct mq_ctl *ctl = mq_ctl_connect (run, &code);

  if (ctl == NULL)
    return code;
  code = drain_host (run, ctl, host);
  mq_ctl_destroy (ctl);
  return code;
}
