/* test_settings.c - parser of a daemon's settings file.

   Needs: settings.h, Criterion.  */

#include "core/owner/place.h"
#include "daemon/settings.h"
#include <criterion/criterion.h>
#include <errno.h>
#include <string.h>

#define HEX_32                                                                \
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789ABCDEF"
#define PROCESS                                                               \
  "[process]\nhost = e1\ndata_centre = plateau\nhttp = 127.0.0.1:0\n"         \
  "peer = [::1]:7000\nplatform = http://127.0.0.1:8000\n"                     \
  "site_key = " HEX_32 "\noperator_key_sha256 = " HEX_32 "\n"
#define PROCESS_LINES 8
#define WORKER                                                                \
  "[worker w0]\nservice = guide-models\nkind = model\nmodel = guide-8b\n"     \
  "url = http://127.0.0.1:9000\nslots = 4\ncache_tokens = 40000\n"
#define COUNT(array) (sizeof (array) / sizeof (array)[0])

static struct mq_settings *
parse (TALLOC_CTX *ctx, enum mq_host_role role, const char *source,
       struct mq_text_errors *errors)
{
  return mq_settings_parse (ctx, role, source, strlen (source), errors);
}

Test (settings, entry_host)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_text_errors errors;
  struct mq_settings *settings
      = parse (ctx, MQ_HOST_ENTRY,
               PROCESS "policy = round-robin\ncommit = each_step\n", &errors);

  cr_assert_not_null (settings, "%s", errors.items[0].subject);
  cr_expect_str_eq (settings->host, "e1");
  cr_expect_str_eq (settings->data_centre, "plateau");
  cr_expect_str_eq (settings->region, "main");
  cr_expect_str_eq (settings->http, "127.0.0.1:0");
  cr_expect_str_eq (settings->peer, "[::1]:7000");
  cr_expect_str_eq (settings->platform, "http://127.0.0.1:8000");
  cr_expect_str_eq (settings->policy, "round-robin");
  cr_expect (settings->commit_each_step);
  cr_expect_eq (settings->drain_seconds, 120);
  cr_expect_eq (settings->site_key[0], 0x01);
  cr_expect_eq (settings->operator_key_hash[MQ_KEY_BYTES - 1], 0xef);
  cr_expect_eq (settings->worker_count, 0);
  talloc_free (ctx);
}

Test (settings, target_host)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_text_errors errors;
  struct mq_settings *settings
      = parse (ctx, MQ_HOST_TARGET,
               WORKER "[worker w1]\nservice = accueil-app\nkind = plain\n"
                      "url = http://127.0.0.1:9001\n" PROCESS "order = fifo\n",
               &errors);

  cr_assert_not_null (settings, "%s", errors.items[0].subject);
  cr_expect_str_eq (settings->host, "e1");
  cr_expect_eq (settings->order, MQ_GATE_FIFO);
  cr_assert_eq (settings->worker_count, 2);
  cr_expect_str_eq (settings->workers[0].service, "guide-models");
  cr_expect_eq (settings->workers[0].kind, MQ_SERVICE_MODEL);
  cr_expect_str_eq (settings->workers[0].model, "guide-8b");
  cr_expect_eq (settings->workers[0].slots, 4);
  cr_expect_eq (settings->workers[0].cache_tokens, 40000);
  cr_expect_str_eq (settings->worker_urls[0], "http://127.0.0.1:9000");
  cr_expect_eq (settings->workers[1].kind, MQ_SERVICE_PLAIN);
  cr_expect_str_eq (settings->workers[1].model, "");
  cr_expect_eq (settings->workers[1].slots, 8);
  cr_expect_str_eq (settings->worker_urls[1], "http://127.0.0.1:9001");
  talloc_free (ctx);
}

/* One expected error and its line.  */
struct bad_settings
{
  const char *name;
  enum mq_host_role role;
  const char *source;
  uint32_t line;
  enum mq_error_type type;
  const char *subject;
  const char *allowed;
};

static const struct bad_settings bad_settings[] = {
  { "no process section", MQ_HOST_ENTRY, "", 1, MQ_ERR_TEXT_MISSING,
    "[process]", "exactly one" },
  { "two process sections", MQ_HOST_ENTRY, PROCESS "[process]\n",
    PROCESS_LINES + 1, MQ_ERR_TEXT_DUPLICATE, "[process]", "line 1" },
  { "missing key", MQ_HOST_ENTRY,
    "[process]\nhost = e1\ndata_centre = p\nhttp = 127.0.0.1:0\n"
    "peer = 127.0.0.1:0\nplatform = http://127.0.0.1:1\n"
    "site_key = " HEX_32 "\n",
    1, MQ_ERR_TEXT_MISSING, "operator_key_sha256 of [process]", "64 hex" },
  { "unknown key", MQ_HOST_ENTRY, PROCESS "drain_second = 3\n",
    PROCESS_LINES + 1, MQ_ERR_TEXT_UNKNOWN_KEY, "drain_second",
    "did you mean drain_seconds?" },
  { "host name in place of an IP number", MQ_HOST_ENTRY,
    "[process]\nhost = e1\ndata_centre = p\nhttp = localhost:80\n"
    "peer = 127.0.0.1:0\nplatform = http://127.0.0.1:1\n"
    "site_key = " HEX_32 "\noperator_key_sha256 = " HEX_32 "\n",
    4, MQ_ERR_TEXT_BAD_VALUE, "http = localhost:80", "IP:PORT" },
  { "port over its bound", MQ_HOST_ENTRY,
    "[process]\nhost = e1\ndata_centre = p\nhttp = 127.0.0.1:65536\n"
    "peer = 127.0.0.1:0\nplatform = http://127.0.0.1:1\n"
    "site_key = " HEX_32 "\noperator_key_sha256 = " HEX_32 "\n",
    4, MQ_ERR_TEXT_BAD_VALUE, "http = 127.0.0.1:65536", "IP:PORT" },
  { "URL with a path", MQ_HOST_ENTRY,
    "[process]\nhost = e1\ndata_centre = p\nhttp = 127.0.0.1:0\n"
    "peer = 127.0.0.1:0\nplatform = http://127.0.0.1:1/v1\n"
    "site_key = " HEX_32 "\noperator_key_sha256 = " HEX_32 "\n",
    6, MQ_ERR_TEXT_BAD_VALUE, "platform = http://127.0.0.1:1/v1",
    "http://IP:PORT" },
  { "unknown policy", MQ_HOST_ENTRY, PROCESS "policy = finnish\n",
    PROCESS_LINES + 1, MQ_ERR_TEXT_BAD_VALUE, "policy = finnish",
    "did you mean finish?" },
  { "order at an entry host", MQ_HOST_ENTRY, PROCESS "order = fifo\n",
    PROCESS_LINES + 1, MQ_ERR_TEXT_UNKNOWN_KEY, "order", "host" },
  { "policy at a target host", MQ_HOST_TARGET,
    PROCESS "policy = finish\n" WORKER, PROCESS_LINES + 1,
    MQ_ERR_TEXT_UNKNOWN_KEY, "policy", "host" },
  { "worker at an entry host", MQ_HOST_ENTRY, PROCESS WORKER,
    PROCESS_LINES + 1, MQ_ERR_TEXT_UNKNOWN_SECTION, "worker", "targetd" },
  { "target host without workers", MQ_HOST_TARGET, PROCESS, 1,
    MQ_ERR_TEXT_MISSING, "[worker NAME]", "at least one" },
  { "no slots", MQ_HOST_TARGET,
    PROCESS "[worker w]\nservice = s\nkind = tool\n"
            "url = http://127.0.0.1:1\nslots = 0\n",
    PROCESS_LINES + 5, MQ_ERR_TEXT_BAD_VALUE, "slots = 0", "1..4096" },
  { "agents have no workers", MQ_HOST_TARGET,
    PROCESS "[worker w]\nservice = s\nkind = agent\nurl = http://[::1]:1\n",
    PROCESS_LINES + 3, MQ_ERR_TEXT_BAD_VALUE, "kind = agent",
    "model, plain, tool" },
  { "cache of a plain service", MQ_HOST_TARGET,
    PROCESS "[worker w]\nservice = s\nkind = plain\nurl = http://[::1]:1\n"
            "cache_tokens = 5\n",
    PROCESS_LINES + 5, MQ_ERR_TEXT_UNKNOWN_KEY, "cache_tokens", "service" },
  { "model worker without its model", MQ_HOST_TARGET,
    PROCESS "[worker w]\nservice = s\nkind = model\nurl = http://[::1]:1\n",
    PROCESS_LINES + 1, MQ_ERR_TEXT_MISSING, "model of [worker w]", "text" },
};

Test (settings, bad_settings)
{
  for (size_t i = 0; i < COUNT (bad_settings); i++)
    {
      const struct bad_settings *bad = &bad_settings[i];
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct mq_text_errors errors;
      const struct mq_error *error;

      cr_expect_null (parse (ctx, bad->role, bad->source, &errors), "%s",
                      bad->name);
      cr_assert_geq (errors.count, 1, "%s", bad->name);
      error = &errors.items[0];
      cr_expect_eq (errors.count, 1, "%s: then %s", bad->name,
                    errors.count > 1 ? errors.items[1].subject : "");
      cr_expect_eq (error->line, bad->line, "%s: line %u", bad->name,
                    error->line);
      cr_expect_eq (error->type, bad->type, "%s: %s", bad->name,
                    mq_error_name (error->type));
      cr_expect_str_eq (error->subject, bad->subject, "%s: %s", bad->name,
                        error->subject);
      cr_expect_not_null (strstr (error->allowed, bad->allowed), "%s: %s",
                          bad->name, error->allowed);
      talloc_free (ctx);
    }
}

/* Error messages for a malformed site key must not contain the key.  */
Test (settings, errors_never_show_a_secret)
{
  static const char secret[] = "5ec3e75ec3e7";
  static const char *const slips[]
      = { "[process]\nsite_key = 5ec3e75ec3e7\n",
          "[process]\nsite_key 5ec3e75ec3e7\n",
          "[process]\nsite_kay = 5ec3e75ec3e7\n",
          "[process]\nsite_key =\n  5ec3e75ec3e7\n",
          "[process]\nsite_key = 5ec3e75ec3e7 5ec3e75ec3e7\n",
          "[proces]\nsite_key = 5ec3e75ec3e7\n",
          "site_key = 5ec3e75ec3e7\n",
          "[process]\noperator_key_sha256 = 5ec3e75ec3e7\n" };

  for (size_t i = 0; i < COUNT (slips); i++)
    {
      TALLOC_CTX *ctx = talloc_new (NULL);
      struct mq_text_errors errors;

      cr_expect_null (parse (ctx, MQ_HOST_ENTRY, slips[i], &errors));
      cr_expect_gt (errors.count, 0);
      for (size_t j = 0; j < errors.count; j++)
        {
          cr_expect_null (strstr (errors.items[j].subject, secret));
          cr_expect_null (strstr (errors.items[j].allowed, secret));
        }
      talloc_free (ctx);
    }
}

Test (settings, missing_file)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_text_errors errors;

  cr_expect_null (mq_settings_read (ctx, MQ_HOST_ENTRY,
                                    "tests/no-such-file.ini", &errors));
  cr_assert_eq (errors.count, 1);
  cr_expect_eq (errors.items[0].type, MQ_ERR_IO);
  cr_expect_eq (errors.items[0].number, ENOENT);
  cr_expect_str_eq (errors.items[0].subject, "tests/no-such-file.ini");
  talloc_free (ctx);
}

/* Every policy name that the settings accept must be known to the placement
   code, or mimosa-entryd fails to start with valid settings.  */
Test (settings, policy_names_match)
{
  const struct mq_key *key
      = mq_key_find (mq_settings_keys (), "process", "policy");
  size_t count = 0;

  for (const struct mq_key_choice *c = key->choices; c->word != NULL; c++)
    {
      enum mq_policy policy;

      cr_assert (mq_policy_from_name (c->word, &policy), "%s", c->word);
      cr_expect_eq (policy, c->value, "%s", c->word);
      count++;
    }
  cr_expect_eq (count, MQ_POLICY_COUNT);
}

Test (settings, table_of_keys)
{
  const struct mq_key_table *table = mq_settings_keys ();

  for (size_t i = 0; i < table->key_count; i++)
    {
      const struct mq_key *key = &table->keys[i];

      cr_expect_eq (mq_key_find (table, key->section, key->name), key, "%s",
                    key->name);
      cr_expect_not_null (key->help, "%s", key->name);
      cr_expect (key->required == (key->fallback == NULL), "%s", key->name);
    }
}
