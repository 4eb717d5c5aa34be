/* ctl_kit.c - a site for tests of mimosactl.

   Needs: ctl_kit.h, spread.h (the row), POSIX processes.  */

#include "ctl_kit.h"
#include "core/spread.h"
#include <criterion/criterion.h>
#include <fcntl.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define TICK_US 5000
#define ARGUMENTS_MAX 16
#define STATUS_OK 200
#define STATUS_UNAUTHORISED 401
#define STATUS_NOT_FOUND 404
#define DEAD_ADDRESS "127.0.0.1:1"

/* Hosts.  */

static void
respond (struct mq_http_request *request, int status, const char *body)
{
  mq_http_respond (request, status, "application/json", body, strlen (body));
}

static void
answer_status (struct ctl_kit_host *host, struct mq_http_request *request)
{
  const char *placeholder = strstr (host->status, "%llu");
  char *body;

  host->asked++;
  if (host->learns != 0 && host->asked >= host->learns)
    host->version = host->learns_version;
  if (placeholder == NULL)
    body = talloc_strdup (NULL, host->status);
  else
    body = talloc_asprintf (
        NULL, "%.*s%llu%s", (int)(placeholder - host->status), host->status,
        (unsigned long long)host->version, placeholder + strlen ("%llu"));
  respond (request, STATUS_OK, body);
  talloc_free (body);
}

static void
on_request (struct mq_http_request *request, void *data)
{
  struct ctl_kit_host *host = data;
  const char *path = mq_http_path (request);
  const char *key = mq_http_header (request, "Authorization");

  if (key == NULL || strcmp (key, "Bearer " CTL_KIT_OPERATOR_KEY) != 0)
    respond (request, STATUS_UNAUTHORISED, "{}");
  else if (strcmp (path, "/v1/admin/status") == 0)
    answer_status (host, request);
  else if (strncmp (path, "/v1/admin/spans/", 16) == 0)
    respond (request, STATUS_OK, host->spans);
  else if (strcmp (path, "/v1/admin/drain") == 0
           && strcmp (mq_http_method (request), "POST") == 0)
    {
      host->drained++;
      respond (request, STATUS_OK, "{}");
    }
  else
    respond (request, STATUS_NOT_FOUND, "{}");
}

static void
start_host (struct ctl_kit *kit, struct ctl_kit_host *host)
{
  struct mq_http_server_options options = { .address = "127.0.0.1:0" };
  struct mq_error error;

  if (host->status == NULL)
    host->status = "{\"state\":\"ready\",\"config_version\":%llu}";
  if (host->spans == NULL)
    host->spans = "[]";
  if (host->gone)
    return;
  host->server = mq_http_server_create (kit->ctx, kit->ev, &options,
                                        on_request, host, &error);
  cr_assert_not_null (host->server, "%s", mq_error_name (error.type));
}

static char *
list_hosts (struct ctl_kit *kit)
{
  char *list = talloc_strdup (kit->ctx, "{\"hosts\":[");

  for (struct ctl_kit_host *host = kit->hosts; host->name != NULL; host++)
    {
      char *address
          = host->gone ? talloc_strdup (list, DEAD_ADDRESS)
                       : talloc_asprintf (list, "127.0.0.1:%u",
                                          mq_http_server_port (host->server));

      list = talloc_asprintf_append (
          list,
          "%s{\"name\":\"%s\",\"role\":\"%s\",\"data_centre\":\"plateau\","
          "\"region\":\"main\",\"address\":\"127.0.0.1:2\",\"http\":\"%s\","
          "\"leaving\":%s}",
          host == kit->hosts ? "" : ",", host->name, host->role, address,
          host->leaving ? "true" : "false");
    }
  return talloc_strdup_append (list, "]}");
}

struct ctl_kit *
ctl_kit_create (const struct ctl_kit_host *hosts)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct ctl_kit *kit = talloc_zero (ctx, struct ctl_kit);
  struct mq_error error;
  char *list;

  kit->ctx = ctx;
  kit->ev = tevent_context_init (ctx);
  kit->platform
      = mq_platform_server_create (ctx, kit->ev, "127.0.0.1:0", &error);
  cr_assert_not_null (kit->platform, "%s", mq_error_name (error.type));
  for (size_t i = 0; hosts != NULL && hosts[i].name != NULL; i++)
    {
      kit->hosts[i] = hosts[i];
      start_host (kit, &kit->hosts[i]);
    }
  list = list_hosts (kit);
  cr_assert (
      mq_platform_server_load_hosts (kit->platform, list, strlen (list)));
  return kit;
}

void
ctl_kit_destroy (struct ctl_kit *kit)
{
  for (struct ctl_kit_host *host = kit->hosts; host->name != NULL; host++)
    if (host->server != NULL)
      mq_http_server_destroy (host->server);
  mq_platform_server_destroy (kit->platform);
  talloc_free (kit->ctx);
}

/* The process.  */

static const char *
write_key_file (struct ctl_kit *kit)
{
  char *name = talloc_strdup (kit->ctx, "/tmp/kit-key-XXXXXX");
  int fd = mkstemp (name);

  cr_assert_geq (fd, 0);
  cr_assert_gt (dprintf (fd, "%s\n", CTL_KIT_OPERATOR_KEY), 0);
  close (fd);
  return name;
}

/* Creates a temporary file with TEXT, positioned at its start.  */
static FILE *
make_stream (const char *text)
{
  FILE *stream = tmpfile ();

  cr_assert_not_null (stream);
  fputs (text, stream);
  rewind (stream);
  return stream;
}

static char *
read_back (struct ctl_kit *kit, FILE *stream)
{
  char *text = talloc_strdup (kit->ctx, "");
  char part[4096];
  size_t len;

  rewind (stream);
  while ((len = fread (part, 1, sizeof part, stream)) > 0)
    text = talloc_strndup_append_buffer (text, part, len);
  fclose (stream);
  return text;
}

static pid_t
start_process (char **argv, FILE *const streams[3])
{
  posix_spawn_file_actions_t actions;
  const char *build = getenv ("BUILD");
  char *program = talloc_asprintf (NULL, "%s/bin/mimosactl",
                                   build == NULL ? "build" : build);
  pid_t pid;
  int failure;

  posix_spawn_file_actions_init (&actions);
  for (int i = 0; i < 3; i++)
    posix_spawn_file_actions_adddup2 (&actions, fileno (streams[i]), i);
  failure = posix_spawn (&pid, program, &actions, NULL, argv, environ);
  cr_assert_eq (failure, 0, "%s: %s", program, strerror (failure));
  posix_spawn_file_actions_destroy (&actions);
  talloc_free (program);
  return pid;
}

static void
on_tick (struct tevent_context *ev, struct tevent_timer *timer,
         struct timeval now, void *data)
{
  (void)timer;
  (void)now;
  tevent_add_timer (ev, data, tevent_timeval_current_ofs (0, TICK_US), on_tick,
                    data);
}

/* Runs the event loop until the process exits; returns its exit status.  */
static int
serve_until_end (struct ctl_kit *kit, pid_t pid)
{
  TALLOC_CTX *ticks = talloc_new (kit->ctx);
  int status;

  tevent_add_timer (kit->ev, ticks, tevent_timeval_zero (), on_tick, ticks);
  while (waitpid (pid, &status, WNOHANG) == 0)
    {
      tevent_loop_once (kit->ev);
      if (kit->step != NULL)
        kit->step (kit, kit->user);
    }
  talloc_free (ticks);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

void
ctl_kit_run (struct ctl_kit *kit, const char *input,
             const char *const *arguments)
{
  char *argv[ARGUMENTS_MAX + 2] = { "mimosactl" };
  const char *key_file = write_key_file (kit);
  char *platform = talloc_asprintf (kit->ctx, "http://127.0.0.1:%u",
                                    mq_platform_server_port (kit->platform));
  FILE *streams[3] = { make_stream (input == NULL ? "" : input),
                       make_stream (""), make_stream ("") };

  for (size_t i = 0; i < ARGUMENTS_MAX && arguments[i] != NULL; i++)
    argv[i + 1] = (char *)arguments[i];
  setenv ("MIMOSA_PLATFORM", platform, 1);
  setenv ("MIMOSA_OPERATOR_KEY_FILE", key_file, 1);
  kit->code = serve_until_end (kit, start_process (argv, streams));
  fclose (streams[0]);
  kit->out = read_back (kit, streams[1]);
  kit->err = read_back (kit, streams[2]);
  unlink (key_file);
}

/* The row.  */

static const struct mq_row *
find_config (const struct mq_table_snapshot *snapshot)
{
  for (size_t i = 0; i < snapshot->row_count; i++)
    if (strcmp (snapshot->rows[i].key, MQ_CONFIG_KEY) == 0)
      return &snapshot->rows[i];
  return NULL;
}

uint64_t
ctl_kit_config (struct ctl_kit *kit, char **text)
{
  struct mq_table *table = mq_platform_server_table (kit->platform);
  struct mq_table_snapshot *snapshot = mq_table_snapshot (table, kit->ctx);
  const struct mq_row *row = find_config (snapshot);
  uint64_t version = 0;

  if (row != NULL)
    for (int i = 0; i < 8; i++)
      version = version << 8 | row->value.data[i];
  if (row != NULL && text != NULL)
    *text
        = talloc_strndup (kit->ctx, (char *)row->value.data + MQ_CONFIG_HEADER,
                          row->value.len - MQ_CONFIG_HEADER);
  talloc_free (snapshot);
  return version;
}

void
ctl_kit_write_config (struct ctl_kit *kit, uint64_t version, const char *text)
{
  size_t text_len = strlen (text);
  size_t len = MQ_CONFIG_HEADER + text_len;
  uint8_t *data = talloc_zero_size (kit->ctx, len + 1);
  struct mq_store_op op = { .key = (char *)MQ_CONFIG_KEY,
                            .if_version = MQ_VERSION_ANY,
                            .value = { data, len } };
  uint64_t row_version;

  for (int i = 0; i < 8; i++)
    data[i] = (uint8_t)(version >> (56 - 8 * i));
  data[8] = (uint8_t)version; /* apply id, unique to the version */
  memcpy (data + MQ_CONFIG_HEADER, text, text_len + 1);
  cr_assert_eq (mq_table_transact (mq_platform_server_table (kit->platform),
                                   &op, 1, &row_version, NULL),
                MQ_STORE_OK);
  talloc_free (data);
}
