/* site_kit.c - a complete site of real processes on the loopback interface.

   Needs: site_kit.h, peer_kit.h (the relay), the stand-ins' engine_plan.h.  */

#include "site_kit.h"
#include "core/id.h"
#include "../standins/engine_plan.h"
#include "peer_kit.h"
#include <criterion/criterion.h>
#include <curl/curl.h>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  POLL_INTERVAL_US = 10000,
  DEFAULT_WORKERS = 2,
  DEFAULT_CACHE_TOKENS = 60000,
  KEY_ATTEMPTS_MAX = 1000
};

#define OPERATOR_KEY "key-of-operator"
#define SITE_KEY                                                              \
  "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define FOREIGN_KEY                                                           \
  "ff0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
#define NO_PROGRAM "00000000000000000000000000000000"

/* Format: partitions, settings of [site], key hashes of the organisations.  */
static const char config_format[]
    = "[site]\nname = proofs\npartitions = %u\n%s\n"
      "[organisation clerks]\nkey_sha256 = %s\nmax_programs = 5000\n"
      "[organisation others]\nkey_sha256 = %s\n"
      "[service drafting]\nkind = model\nmodel = m\nmax_tokens = 1024\n"
      "timeout_ms = 30000\nretry_percent = 50\n"
      "[service ledger]\nkind = tool\npath = /v1/ledger\nidempotent = yes\n"
      "timeout_ms = 20000\nretry_percent = 50\n"
      "[service slow]\nkind = tool\npath = /v1/slow\nidempotent = yes\n"
      "timeout_ms = 20000\nretry_percent = 50\n"
      "[service notice]\nkind = tool\npath = /v1/notice\nidempotent = no\n"
      "timeout_ms = 20000\n"
      "[service letters]\nkind = agent\n"
      "depends = drafting, ledger, slow, notice\nbudget_tokens = 8192\n"
      "budget_turns = 40\nbudget_seconds = 600\npriority = interactive\n"
      "prompt = You draft letters to households.\n"
      "[service nightly]\nkind = agent\n"
      "depends = drafting, ledger, slow, notice\nbudget_tokens = 8192\n"
      "budget_turns = 40\nbudget_seconds = 600\npriority = batch\n"
      "prompt = You fill envelopes before morning.\n"
      "[service poems]\nkind = agent\n"
      "depends = drafting, ledger\nbudget_tokens = 200000\n"
      "budget_turns = 400\nbudget_seconds = 600\npriority = batch\n"
      "prompt = You write long poems.\n";

static const char default_site_keys[]
    = "lease_ms = 2000\ncache_lease_ms = 5000\n";

/* ---- Failures and waiting ---- */

static void
dump_all (const struct site *site)
{
  site_process_dump (site->platform_process);
  site_process_dump (site->engine_process);
  site_process_dump (site->tool_process);
  for (size_t i = 0; i < site->host_count; i++)
    if (site->hosts[i].process != NULL)
      site_process_dump (site->hosts[i].process);
}

void
site_fail (struct site *site, const char *file, int line, const char *what)
{
  fprintf (stderr, "%s:%d: check failed: %s\n", file, line, what);
  dump_all (site);
  cr_assert_fail ("%s:%d: check failed: %s", file, line, what);
  abort ();
}

void
site_poll_wait (struct site *site, uint64_t *until, const char *file, int line,
                const char *what)
{
  uint64_t now = site_now_ms ();

  if (*until == 0)
    *until = now + SITE_WAIT_LIMIT_MS;
  if (now >= *until)
    site_fail (site, file, line, what);
  usleep (POLL_INTERVAL_US);
}

/* ---- Observation ---- */

static int
free_json (json_t **json)
{
  json_decref (*json);
  return 0;
}

static json_t *
own_json (struct site *site, json_t *json)
{
  json_t **kept = talloc (site, json_t *);

  *kept = json;
  talloc_set_destructor (kept, free_json);
  return json;
}

json_t *
site_get (struct site *site, const char *address, const char *path)
{
  struct site_http_request request
      = { .address = address, .path = path, .key = OPERATOR_KEY };
  struct site_call *call = site_call (site, &request);
  json_t *json = NULL;

  if (site_call_status (call) == 200)
    json = own_json (site, json_incref (site_call_json (call)));
  talloc_free (call);
  return json;
}

static uint64_t
number_of (const json_t *json, const char *name)
{
  return (uint64_t)json_integer_value (json_object_get (json, name));
}

static const char *
text_of (const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return text == NULL ? "" : text;
}

json_t *
site_status (struct site *site, const struct site_host *host)
{
  return site_get (site, host->http, "/v1/admin/status");
}

uint64_t
site_counter (struct site *site, const struct site_host *host,
              const char *name)
{
  struct site_http_request request
      = { .address = host->http, .path = "/metrics" };
  struct site_call *call = site_call (site, &request);
  char *line = talloc_asprintf (call, "\nmimosa_%s ", name);
  const char *found = strstr (site_call_body (call), line);
  uint64_t value = 0;

  if (site_call_status (call) == 200 && found != NULL)
    value = strtoull (found + strlen (line), NULL, 10);
  talloc_free (call);
  return value;
}

bool
site_owns (struct site *site, const struct site_host *host, uint32_t partition)
{
  json_t *list = json_object_get (site_status (site, host), "partitions");
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    if (number_of (item, "partition") == partition)
      return strcmp (text_of (item, "state"), "active") == 0;
  }
  return false;
}

uint32_t
site_owned_count (struct site *site, const struct site_host *host)
{
  json_t *list = json_object_get (site_status (site, host), "partitions");
  uint32_t count = 0;
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    if (strcmp (text_of (item, "state"), "active") == 0)
      count++;
  }
  return count;
}

int32_t
site_tool_running (struct site *site)
{
  for (uint32_t i = 0; i < site->workers; i++)
    if (number_of (site_get (site, site->tools[i], "/v1/load"), "running") > 0)
      return (int32_t)i;
  return -1;
}

uint64_t
site_work_count (struct site *site, uint32_t worker)
{
  json_t *stats = site_get (site, site->engines[worker], "/standin/stats");
  json_t *effects = json_object_get (
      site_get (site, site->tools[0], "/standin/effects"), "effects");
  char *name = talloc_asprintf (site, "tools/%u", worker);
  uint64_t work = number_of (json_object_get (stats, "counters"), "submitted");
  json_t *item;
  size_t i;

  json_array_foreach (effects, i, item)
  {
    if (strcmp (text_of (item, "worker"), name) == 0)
      work++;
  }
  return work;
}

/* Excludes the zero program, which owns the blocks of the service.  */
uint64_t
site_cached_program_count (struct site *site)
{
  uint64_t count = 0;

  for (uint32_t i = 0; i < site->workers; i++)
    {
      json_t *cache = site_get (site, site->engines[i], "/v1/cache");
      json_t *item;
      size_t j;

      SITE_CHECK (site, cache != NULL);
      json_array_foreach (json_object_get (cache, "programs"), j, item)
      {
        if (strcmp (text_of (item, "program"), NO_PROGRAM) != 0)
          count++;
      }
    }
  return count;
}

int32_t
site_engine_running (struct site *site)
{
  for (uint32_t i = 0; i < site->workers; i++)
    if (number_of (site_get (site, site->engines[i], "/standin/stats"),
                   "running")
        > 0)
      return (int32_t)i;
  return -1;
}

uint64_t
site_effect_count (struct site *site, const char *path, uint64_t *repeated)
{
  char *query
      = talloc_asprintf (site, "/standin/effects?summary=1&path=%s", path);
  json_t *totals = site_get (site, site->tools[0], query);

  if (repeated != NULL)
    *repeated = number_of (totals, "repeated_keys");
  return number_of (totals, "total");
}

void
site_fault (struct site *site, const char *address, const char *json)
{
  struct site_http_request request
      = { .address = address, .path = "/standin/fault", .body = json };
  struct site_call *call = site_call (site, &request);

  if (site_call_status (call) != 200)
    site_fail (site, __FILE__, __LINE__, json);
  talloc_free (call);
}

/* ---- The stand-ins ---- */

static char *
hash_hex (TALLOC_CTX *ctx, const char *key)
{
  uint8_t hash[MQ_KEY_BYTES];
  char *text = talloc_strdup (ctx, "");

  gnutls_hash_fast (GNUTLS_DIG_SHA256, key, strlen (key), hash);
  for (size_t i = 0; i < MQ_KEY_BYTES; i++)
    text = talloc_asprintf_append (text, "%02x", hash[i]);
  return text;
}

/* Addresses of the "listening IP:PORT" lines.  */
static char **
read_addresses (struct site *site, struct site_process *process,
                uint32_t count)
{
  char **list = talloc_array (site, char *, count);
  const char *line;

  if (!site_process_wait_listening (process, count))
    site_fail (site, __FILE__, __LINE__, "the stand-in listens");
  line = process->output;
  for (uint32_t i = 0; i < count; i++)
    {
      line = strstr (line, "listening ") + strlen ("listening ");
      list[i] = talloc_strndup (list, line, strcspn (line, "\n"));
    }
  return list;
}

static void
start_standins (struct site *site)
{
  const char *time_scale
      = site->options.time_scale == NULL ? "0.2" : site->options.time_scale;
  const char *cache_tokens
      = talloc_asprintf (site, "%u", site->options.cache_tokens);
  const char *platform[]
      = { "standin-platform", "--listen", "127.0.0.1:0", NULL };
  const char *engines[SITE_ARGUMENTS_MAX + 1]
      = { "standin-engine", "--model",        "m",         "--time-scale",
          time_scale,       "--cache-tokens", cache_tokens };
  const char *tools[SITE_ARGUMENTS_MAX + 1]
      = { "standin-service", "--name", "tools" };

  for (uint32_t i = 0; i < site->workers; i++)
    {
      engines[7 + 2 * i] = tools[3 + 2 * i] = "--listen";
      engines[8 + 2 * i] = tools[4 + 2 * i] = "127.0.0.1:0";
    }
  site->platform_process = site_process_start (site, "platform", platform);
  site->engine_process = site_process_start (site, "engines", engines);
  site->tool_process = site_process_start (site, "tools", tools);
  site->platform = read_addresses (site, site->platform_process, 1)[0];
  site->engines = read_addresses (site, site->engine_process, site->workers);
  site->tools = read_addresses (site, site->tool_process, site->workers);
}

struct site_process *
site_ctl_start (struct site *site, const char *const *arguments)
{
  const char *all[SITE_ARGUMENTS_MAX + 1]
      = { "mimosactl", "--platform",
          talloc_asprintf (site, "http://%s", site->platform),
          "--operator-key-file", site->operator_key_file };

  for (size_t i = 0; arguments[i] != NULL; i++)
    all[5 + i] = arguments[i];
  return site_process_start (site, arguments[0], all);
}

struct site_process *
site_ctl (struct site *site, const char *const *arguments)
{
  struct site_process *process = site_ctl_start (site, arguments);

  SITE_CHECK (site, site_process_wait (process));
  return process;
}

char *
site_config_text (struct site *site, const char *site_keys)
{
  return talloc_asprintf (site, config_format, SITE_PARTITIONS,
                          site_keys == NULL ? default_site_keys : site_keys,
                          hash_hex (site, SITE_CLERKS_KEY),
                          hash_hex (site, SITE_OTHERS_KEY));
}

static void
apply_text (struct site *site, const char *site_keys)
{
  char *text = site_config_text (site, site_keys);
  const char *arguments[] = {
    "apply", site_file (site, text), "--base", "0", "--wait", "0", NULL
  };
  struct site_process *apply = site_ctl (site, arguments);

  if (!site_process_succeeded (apply))
    {
      site_process_dump (apply);
      site_fail (site, __FILE__, __LINE__, apply->output);
    }
}

struct site *
site_start (const struct site_options *options)
{
  struct site *site = talloc_zero (NULL, struct site);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  signal (SIGPIPE, SIG_IGN);
  site->options = *options;
  site->workers = options->workers == 0 ? DEFAULT_WORKERS : options->workers;
  site->operator_key_file = site_file (site, OPERATOR_KEY);
  if (site->options.cache_tokens == 0)
    site->options.cache_tokens = DEFAULT_CACHE_TOKENS;
  start_standins (site);
  apply_text (site, options->site_keys);
  return site;
}

/* Stops the daemons first, so that none reports an unavailable platform.  */
void
site_stop (struct site *site)
{
  if (site == NULL)
    return;
  if (getenv ("SITE_DUMP") != NULL)
    dump_all (site);
  for (size_t i = 0; i < site->host_count; i++)
    TALLOC_FREE (site->hosts[i].process);
  talloc_free (site);
}

/* ---- Hosts ---- */

static struct site_host *
add_host (struct site *site, const char *name, const char *role,
          const char *data_centre, uint32_t worker)
{
  struct site_host *host = &site->hosts[site->host_count++];

  cr_assert_leq (site->host_count, SITE_HOSTS_MAX);
  host->name = name;
  host->role = role;
  host->data_centre = data_centre;
  host->worker = worker;
  host->http = talloc_strdup (site, "127.0.0.1:0");
  host->peer = talloc_strdup (site, "127.0.0.1:0");
  return host;
}

static bool
is_target (const struct site_host *host)
{
  return strcmp (host->role, "target") == 0;
}

static char *
make_settings (struct site *site, const struct site_host *host)
{
  char *text = talloc_asprintf (
      site,
      "[process]\nhost = %s\ndata_centre = %s\nhttp = %s\npeer = %s\n"
      "platform = http://%s\nsite_key = %s\noperator_key_sha256 = %s\n"
      "drain_seconds = 60\n",
      host->name, host->data_centre, host->http, host->peer, site->platform,
      host->site_key == NULL ? SITE_KEY : host->site_key,
      hash_hex (site, OPERATOR_KEY));
  static const char *const tools[] = { "ledger", "slow", "notice" };

  if (!is_target (host))
    return site->options.stream_buffer_kb == 0
               ? text
               : talloc_asprintf_append (text, "stream_buffer_kb = %u\n",
                                         site->options.stream_buffer_kb);
  text = talloc_asprintf_append (
      text,
      "[worker engine]\nservice = drafting\nkind = model\nmodel = m\n"
      "url = http://%s\nslots = 8\ncache_tokens = %u\n",
      site->engines[host->worker], site->options.cache_tokens);
  for (size_t i = 0; i < sizeof tools / sizeof tools[0]; i++)
    text = talloc_asprintf_append (text,
                                   "[worker %s]\nservice = %s\nkind = tool\n"
                                   "url = http://%s\nslots = 8\n",
                                   tools[i], tools[i],
                                   site->tools[host->worker]);
  return text;
}

static char *
read_address (struct site *site, const char *output, const char *key)
{
  char *begin = talloc_asprintf (site, "\"%s\":\"", key);
  const char *at = strstr (output, begin);

  SITE_CHECK (site, at != NULL);
  at += strlen (begin);
  return talloc_strndup (site, at, strcspn (at, "\""));
}

void
site_restart (struct site *site, struct site_host *host)
{
  char *settings = site_file (site, make_settings (site, host));
  const char *arguments[]
      = { is_target (host) ? "mimosa-targetd" : "mimosa-entryd", "--settings",
          settings, NULL };

  TALLOC_FREE (host->process);
  host->process = site_process_start (site, host->name, arguments);
  SITE_CHECK (site, site_process_wait_listening (host->process, 1));
  host->http = read_address (site, host->process->output, "http");
  host->peer = read_address (site, host->process->output, "peer");
}

void
site_publish_host (struct site *site, const struct site_host *host,
                   bool leaving)
{
  struct site_http_request request
      = { .address = site->platform, .path = "/standin/hosts" };
  struct site_call *call;

  request.body = talloc_asprintf (
      site,
      "{\"name\":\"%s\",\"role\":\"%s\",\"data_centre\":\"%s\","
      "\"region\":\"main\",\"address\":\"%s\",\"http\":\"%s\","
      "\"leaving\":%s}",
      host->name, host->role, host->data_centre,
      host->listed != NULL ? host->listed : host->peer, host->http,
      leaving ? "true" : "false");
  call = site_call (site, &request);
  SITE_CHECK (site, site_call_status (call) == 200);
  talloc_free (call);
}

void
site_unpublish_host (struct site *site, const struct site_host *host)
{
  struct site_http_request request
      = { .address = site->platform, .method = "DELETE" };
  struct site_call *call;

  request.path = talloc_asprintf (site, "/standin/hosts/%s", host->name);
  call = site_call (site, &request);
  SITE_CHECK (site, site_call_status (call) == 200);
  talloc_free (call);
}

struct site_host *
site_add_entry (struct site *site, const char *name, const char *data_centre)
{
  struct site_host *host = add_host (site, name, "entry", data_centre, 0);

  site_restart (site, host);
  site_publish_host (site, host, false);
  return host;
}

struct site_host *
site_add_target (struct site *site, const char *name, const char *data_centre,
                 uint32_t worker)
{
  struct site_host *host
      = add_host (site, name, "target", data_centre, worker);

  site_restart (site, host);
  site_publish_host (site, host, false);
  return host;
}

struct site_host *
site_add_foreign_target (struct site *site, const char *name,
                         const char *data_centre, uint32_t worker)
{
  struct site_host *host
      = add_host (site, name, "target", data_centre, worker);

  host->site_key = FOREIGN_KEY;
  site_restart (site, host);
  site_publish_host (site, host, false);
  return host;
}

/* The relay runs in its own process, so that it forwards while the test
   waits.  */
static void
on_stall_signal (struct tevent_context *ev, struct tevent_signal *event,
                 int number, int count, void *info, void *data)
{
  (void)ev;
  (void)event;
  (void)number;
  (void)count;
  (void)info;
  kit_relay_blackhole (data, true, true);
}

static void
run_relay (void *data, int out)
{
  const uint16_t *port = data;
  struct kit_relay *relay;

  kit_start ();
  relay = kit_relay (*port);
  tevent_add_signal (kit_ev, kit_ev, SIGUSR1, 0, on_stall_signal, relay);
  dprintf (out, "listening %s\n", kit_relay_address (relay));
  tevent_loop_wait (kit_ev);
}

struct site_host *
site_add_relayed_target (struct site *site, const char *name,
                         const char *data_centre, uint32_t worker)
{
  struct site_host *host
      = add_host (site, name, "target", data_centre, worker);
  uint16_t port;

  site_restart (site, host);
  port = (uint16_t)strtoul (strrchr (host->peer, ':') + 1, NULL, 10);
  host->relay = site_process_fork (site, "relay", run_relay, &port);
  host->listed = read_addresses (site, host->relay, 1)[0];
  site_publish_host (site, host, false);
  return host;
}

void
site_stall_relay (struct site_host *host)
{
  site_process_signal (host->relay, SIGUSR1);
}

struct site_host *
site_host (struct site *site, const char *name)
{
  for (size_t i = 0; i < site->host_count; i++)
    if (strcmp (site->hosts[i].name, name) == 0)
      return &site->hosts[i];
  cr_assert_fail ("no host %s", name);
  return NULL;
}

void
site_kill (struct site_host *host)
{
  site_process_signal (host->process, SIGKILL);
  site_process_wait (host->process);
}

static bool
is_up (const struct site_host *host)
{
  return host->process != NULL && host->process->pid != 0;
}

static bool
is_stable (struct site *site)
{
  uint32_t entries = 0;
  uint32_t owned = 0;
  uint32_t most = 0;

  for (size_t i = 0; i < site->host_count; i++)
    {
      const struct site_host *host = &site->hosts[i];
      uint32_t count;

      if (!is_up (host))
        continue;
      if (site_get (site, host->http, "/readyz") == NULL)
        return false;
      if (is_target (host))
        continue;
      count = site_owned_count (site, host);
      entries++;
      owned += count;
      most = count > most ? count : most;
    }
  return owned == SITE_PARTITIONS
         && most <= (SITE_PARTITIONS + entries - 1) / entries;
}

void
site_wait_stable (struct site *site)
{
  SITE_WAIT (site, is_stable (site));
}

struct site *
site_start_default (const struct site_options *options)
{
  struct site *site = site_start (options);

  site_add_target (site, "north-1", "north", 0);
  site_add_target (site, "south-1", "south", 1);
  site_add_entry (site, "entry-1", "north");
  site_add_entry (site, "entry-2", "south");
  site_wait_stable (site);
  return site;
}

/* ---- Programs ---- */

char *
site_key_owned_by (struct site *site, const struct site_host *host,
                   const char *begin)
{
  for (int i = 0; i < KEY_ATTEMPTS_MAX; i++)
    {
      char *key = talloc_asprintf (site, "%s-%d", begin, i);
      struct mq_id id = mq_id_open ("clerks", key);

      if (site_owns (site, host, mq_id_partition (id, SITE_PARTITIONS)))
        return key;
    }
  site_fail (site, __FILE__, __LINE__, "the host owns a partition");
  return NULL;
}

char *
site_open_body (struct site *site, const char *service, const char *plan)
{
  char *input = talloc_asprintf (site, "A letter. plan=%s", plan);
  json_t *body = json_pack ("{ss ss}", "service", service, "input", input);
  char *dump = json_dumps (body, JSON_COMPACT);
  char *copy = talloc_strdup (site, dump);

  free (dump);
  json_decref (body);
  return copy;
}

struct site_call *
site_open (struct site *site, const struct site_host *host, const char *key,
           const char *service, const char *plan)
{
  struct site_http_request request = { .address = host->http,
                                       .path = "/v1/programs",
                                       .key = SITE_CLERKS_KEY,
                                       .idempotency_key = key };

  request.body = site_open_body (site, service, plan);
  return site_call_start (site, &request);
}

void
site_wait_call (struct site *site, struct site_call *call)
{
  SITE_WAIT (site, site_call_done (call));
}

/* Checks message AT against the model's answer to the preceding messages.  */
static void
check_assistant (struct site *site, const json_t *messages, size_t at,
                 struct mq_plan_answer *expected)
{
  const json_t *message = json_array_get (messages, at);
  const json_t *call
      = json_array_get (json_object_get (message, "tool_calls"), 0);
  json_t *before = json_array ();
  struct mq_plan_prompt prompt;
  struct mq_error error;

  for (size_t i = 0; i < at; i++)
    json_array_append (before, json_array_get (messages, i));
  SITE_CHECK (site, mq_plan_read (site, before, &prompt, &error));
  mq_plan_answer (site, before, &prompt, SITE_MAX_TOKENS, expected);
  json_decref (before);
  SITE_CHECK (site, strcmp (text_of (message, "role"), "assistant") == 0);
  SITE_CHECK (site,
              strcmp (text_of (message, "content"), expected->text) == 0);
  if (expected->finish != MQ_PLAN_CALL)
    return;
  SITE_CHECK (site, strcmp (text_of (call, "name"), expected->call_name) == 0);
  SITE_CHECK (site, strcmp (text_of (call, "id"), expected->call_id) == 0);
}

/* Checks that the tool's response echoes the arguments of the call.  */
static void
check_tool (struct site *site, const json_t *message,
            const struct mq_plan_answer *expected)
{
  json_t *content = json_loads (text_of (message, "content"), 0, NULL);
  json_t *arguments = json_loads (expected->call_arguments, 0, NULL);
  bool failed = json_object_get (content, "error") != NULL;

  SITE_CHECK (site, strcmp (text_of (message, "role"), "tool") == 0);
  SITE_CHECK (site,
              strcmp (text_of (message, "name"), expected->call_name) == 0);
  SITE_CHECK (site,
              strcmp (text_of (message, "tool_call_id"), expected->call_id)
                  == 0);
  SITE_CHECK (
      site,
      failed || json_equal (json_object_get (content, "echo"), arguments));
  json_decref (content);
  json_decref (arguments);
}

/* Checks a history of system, user, then alternating assistant and tool.  */
static uint32_t
check_history (struct site *site, const json_t *messages, size_t steps,
               const char *answer)
{
  struct mq_plan_answer expected = { 0 };
  uint32_t tokens = 0;
  size_t at = 2;

  SITE_CHECK (site, json_array_size (messages) == 2 + 2 * steps - 1);
  for (size_t i = 0; i < steps; i++)
    {
      check_assistant (site, messages, at++, &expected);
      tokens += expected.tokens;
      if (i + 1 < steps)
        check_tool (site, json_array_get (messages, at++), &expected);
    }
  SITE_CHECK (site, expected.text != NULL && expected.finish == MQ_PLAN_STOP);
  SITE_CHECK (site, strcmp (expected.text, answer) == 0);
  return tokens;
}

void
site_check_answer (struct site *site, struct site_call *call,
                   const struct site_host *host, const char *plan)
{
  json_t *steps = own_json (site, json_loads (plan, 0, NULL));
  json_t *answer;
  struct site_http_request request
      = { .address = host->http, .key = SITE_CLERKS_KEY };
  struct site_call *history;
  uint32_t tokens;

  site_wait_call (site, call);
  if (site_call_status (call) != 200)
    site_fail (site, __FILE__, __LINE__, site_call_body (call));
  answer = site_call_json (call);
  SITE_CHECK (site, strcmp (text_of (answer, "status"), "ended") == 0);
  request.path = talloc_asprintf (site, "/v1/programs/%s/history",
                                  text_of (answer, "program"));
  history = site_call (site, &request);
  SITE_CHECK (site, site_call_status (history) == 200);
  tokens = check_history (
      site, json_object_get (site_call_json (history), "messages"),
      json_array_size (steps), text_of (answer, "answer"));
  SITE_CHECK (site, number_of (answer, "tokens") >= tokens);
  SITE_CHECK (site, number_of (answer, "tokens") <= SITE_BUDGET_TOKENS);
}
