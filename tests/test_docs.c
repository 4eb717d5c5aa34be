/* test_docs.c - consistency of the documentation with the code: counters,
   errors, log events, functions, modules and links.

   Needs: the reports of both daemons, docs/, Criterion.  */

#include "core/error.h"
#include "entry/api.h"
#include "entry/entry_report.h"
#include "log/log_schema.h"
#include "router/router.h"
#include "target/target_report.h"
#include <criterion/criterion.h>
#include <glob.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PAGE_BYTES = 1 << 20,
  WORD_BYTES = 256
};

static char *
read_file (TALLOC_CTX *ctx, const char *path)
{
  char *text = talloc_zero_size (ctx, PAGE_BYTES);
  FILE *file = fopen (path, "r");

  cr_assert_not_null (file, "%s can't be read", path);
  cr_assert_gt (fread (text, 1, PAGE_BYTES - 1, file), 0);
  fclose (file);
  return text;
}

/* Counters.  */

struct daemons
{
  struct tevent_context *ev;
  struct mq_settings settings;
  struct mq_http_client *client;
  struct mq_peer_net *net;
  struct mq_platform *platform;
  struct mq_api *api;
};

static struct daemons *
create_daemons (void)
{
  struct daemons *self = talloc_zero (NULL, struct daemons);
  struct mq_peer_options peer = { .listen = "127.0.0.1:0" };
  struct mq_peer_callbacks peers = { .user = self };
  struct mq_api_options api = { .http = { .address = "127.0.0.1:0" } };
  struct mq_api_callbacks callers = { .user = self };
  struct mq_error error = { 0 };

  self->ev = tevent_context_init (self);
  peer.self.host = "e1";
  peer.self.data_centre = "hann";
  self->client = mq_http_client_create (self, self->ev, &error);
  self->net = mq_peer_net_create (self, self->ev, &peer, &peers, &error);
  self->platform = mq_platform_create (self, self->ev, self->client,
                                       "http://127.0.0.1:1", NULL, NULL);
  self->api = mq_api_create (self, self->ev, &api, &callers, &error);
  cr_assert_not_null (self->net);
  cr_assert_not_null (self->platform);
  cr_assert_not_null (self->api);
  return self;
}

static void
destroy_daemons (struct daemons *self)
{
  mq_api_destroy (self->api);
  mq_peer_net_destroy (self->net);
  mq_platform_destroy (self->platform);
  mq_http_client_destroy (self->client);
  talloc_free (self);
}

static char *
entry_metrics (struct daemons *self)
{
  struct mq_owner_options owner = { .host = "e1", .data_centre = "hann" };
  struct mq_front_lookup lookup = { 0 };
  struct mq_entry_view view = { .settings = &self->settings };

  owner.address = "127.0.0.1:1";
  view.owner = mq_owner_create (self, &owner);
  view.front = mq_front_create (self, &lookup, 1);
  view.spread = mq_spread_create (self, "e1", "hann", 1);
  view.api = self->api;
  view.net = self->net;
  view.platform = self->platform;
  return mq_entry_metrics (self, &view);
}

static char *
target_metrics (struct daemons *self)
{
  struct mq_gate_options gate = { .host = "t1", .boot = 1 };
  struct mq_target_view view = { .settings = &self->settings };

  view.gate = mq_gate_create (self, &gate);
  view.spread = mq_spread_create (self, "t1", "hann", 1);
  view.net = self->net;
  view.platform = self->platform;
  return mq_target_metrics (self, &view);
}

/* Copies the identifier at AT.  */
static void
take_word (const char *at, char word[WORD_BYTES])
{
  size_t len
      = strspn (at, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                    "0123456789_./");

  cr_assert_lt (len, WORD_BYTES);
  memcpy (word, at, len);
  word[len] = '\0';
}

static size_t
expect_in_page (const char *metrics, const char *page)
{
  static const char mark[] = "# TYPE ";
  size_t count = 0;

  for (const char *at = metrics; (at = strstr (at, mark)) != NULL; count++)
    {
      char name[WORD_BYTES];
      char row[WORD_BYTES + 8];

      at += sizeof mark - 1;
      take_word (at, name);
      snprintf (row, sizeof row, "\n| `%s` | ", name);
      cr_expect_not_null (strstr (page, row), "%s is not in the page", name);
    }
  return count;
}

/* The metrics at /metrics and those in the documentation are the same.  */
Test (docs, every_counter)
{
  struct daemons *self = create_daemons ();
  const char *page = read_file (self, "docs/OPERATING.md");
  char *entry = entry_metrics (self);
  char *target = target_metrics (self);
  size_t rows = 0;

  cr_expect_gt (expect_in_page (entry, page), 40);
  cr_expect_gt (expect_in_page (target, page), 40);
  for (const char *at = page; (at = strstr (at, "\n| `mimosa_")) != NULL;
       rows++)
    {
      char name[WORD_BYTES];
      char line[WORD_BYTES + 8];

      at += strlen ("\n| `");
      take_word (at, name);
      snprintf (line, sizeof line, "# TYPE %s ", name);
      cr_expect (strstr (entry, line) != NULL || strstr (target, line) != NULL,
                 "no process prints %s", name);
    }
  cr_expect_gt (rows, 80);
  destroy_daemons (self);
}

/* The same for the router's metrics.  */
Test (docs, every_counter_of_the_router)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  const char *page = read_file (ctx, "docs/OPERATIONS.md");
  struct mq_router_settings settings = { .host = "e1",
                                         .data_centre = "hann",
                                         .http = "127.0.0.1:0",
                                         .ready = "127.0.0.1:0",
                                         .peer = "127.0.0.1:0",
                                         .seeds = "",
                                         .table = "127.0.0.1:1",
                                         .memory_mb = 64 };
  struct mq_error error = { .type = MQ_ERR_NONE };
  struct mq_router *router
      = mq_router_create (ctx, tevent_context_init (ctx), &settings, &error);
  char *metrics;
  size_t rows = 0;

  cr_assert_not_null (router);
  metrics = mq_router_metrics (ctx, router);
  cr_expect_gt (expect_in_page (metrics, page), 29);
  for (const char *at = page; (at = strstr (at, "\n| `mimosa_")) != NULL;
       rows++)
    {
      char name[WORD_BYTES];

      at += strlen ("\n| `");
      take_word (at, name);
      cr_expect_not_null (
          strstr (metrics, talloc_asprintf (ctx, "# TYPE %s ", name)),
          "the router does not print %s", name);
    }
  cr_expect_gt (rows, 29);
  mq_router_destroy (router);
  talloc_free (ctx);
}

Test (docs, every_error)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  const char *page = read_file (ctx, "docs/OPERATING.md");
  size_t rows = 0;

  for (int i = MQ_ERR_NONE + 1; i < MQ_ERR_COUNT; i++)
    {
      enum mq_error_type type = (enum mq_error_type)i;
      const char *row
          = talloc_asprintf (ctx, "\n| `%s` | %d | %s | %s |\n",
                             mq_error_name (type), mq_error_http_status (type),
                             mq_error_cause (type), mq_error_remedy (type));

      cr_expect_not_null (strstr (page, row), "not in the page:%s", row);
    }
  page = strstr (page, "\n## Errors\n");
  cr_assert_not_null (page);
  for (const char *at = page; (at = strstr (at, "\n| `")) != NULL; rows++)
    {
      char name[WORD_BYTES];

      at += strlen ("\n| `");
      take_word (at, name);
      if (strncmp (name, "mimosa_", strlen ("mimosa_")) == 0)
        break;
      cr_expect_neq (mq_error_from_name (name), MQ_ERR_NONE,
                     "%s is no error of the code", name);
    }
  cr_expect_eq (rows, MQ_ERR_COUNT - 1);
  talloc_free (ctx);
}

/* Functions and modules.  */

static const char architecture[] = "docs/ARCHITECTURE.md";

/* Each row "| N | `file` | `function` | …" of the walk-through names a
   function that is defined in that file.  */
Test (docs, walk_names_functions)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  char *page = read_file (ctx, architecture);
  size_t rows = 0;

  for (char *line = strtok (page, "\n"); line != NULL;
       line = strtok (NULL, "\n"))
    {
      char file[WORD_BYTES];
      char function[WORD_BYTES];
      const char *source;

      if (sscanf (line, "| %*d | `%255[^`]` | `%255[^`]` |", file, function)
          != 2)
        continue;
      rows++;
      source = read_file (ctx, file);
      cr_expect_not_null (
          strstr (source, talloc_asprintf (ctx, "\n%s (", function)),
          "%s is not defined in %s", function, file);
    }
  cr_expect_gt (rows, 15);
  talloc_free (ctx);
}

struct modules
{
  const char *pattern;
  size_t least;
};

static const struct modules modules[] = { { "src/*.c", 3 },
                                          { "src/*/*.c", 100 },
                                          { "src/core/*/*.c", 50 },
                                          { "platform/*.c", 3 } };

/* Copies TEXT with each run of white space replaced by one blank.  */
static const char *
join_lines (TALLOC_CTX *ctx, const char *text, size_t most)
{
  char *joined = talloc_zero_size (ctx, most + 1);
  size_t len = 0;

  for (; *text != '\0' && len < most; text++)
    if (*text != ' ' && *text != '\n')
      joined[len++] = *text;
    else if (len > 0 && joined[len - 1] != ' ')
      joined[len++] = ' ';
  return joined;
}

/* Each source file has a row "| `file` | purpose |", and the file's head note
   begins with the same purpose.  */
Test (docs, every_module)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  const char *page = read_file (ctx, architecture);

  for (size_t i = 0; i < sizeof modules / sizeof modules[0]; i++)
    {
      glob_t found;

      cr_assert_eq (glob (modules[i].pattern, 0, NULL, &found), 0);
      cr_expect_geq (found.gl_pathc, modules[i].least);
      for (size_t j = 0; j < found.gl_pathc; j++)
        cr_expect_not_null (strstr (page, talloc_asprintf (ctx, "\n| `%s` | ",
                                                           found.gl_pathv[j])),
                            "%s is not in the page", found.gl_pathv[j]);
      globfree (&found);
    }
  for (const char *at = page; (at = strstr (at, "\n| `src/")) != NULL;)
    {
      char file[WORD_BYTES];
      char does[WORD_BYTES];
      const char *note;
      const char *want;

      at += strlen ("\n| `");
      cr_assert_eq (sscanf (at, "%255[^`]` | %255[^|]", file, does), 2);
      does[strlen (does) - 1] = '\0';
      note = join_lines (ctx, read_file (ctx, file), (size_t)WORD_BYTES * 2);
      want
          = talloc_asprintf (ctx, "/* %s - %s", strrchr (file, '/') + 1, does);
      cr_expect_eq (strncmp (note, want, strlen (want)), 0,
                    "%s: the head note does not say: %s", file, does);
    }
  talloc_free (ctx);
}

struct link_page
{
  const char *path;
  const char *directory;
};

static const struct link_page link_pages[] = {
  { "README.md", "" },
  { "docs/ARCHITECTURE.md", "docs/" },
  { "docs/GLOSSARY.md", "docs/" },
  { "docs/OPERATING.md", "docs/" },
  { "docs/design/README.md", "docs/design/" },
  { "docs/design/house-style.md", "docs/design/" },
  { "docs/design/ownership.md", "docs/design/" },
  { "docs/design/programs.md", "docs/design/" },
  { "docs/design/router.md", "docs/design/" },
  { "docs/OPERATIONS.md", "docs/" },
};

Test (docs, links_lead_to_files)
{
  TALLOC_CTX *ctx = talloc_new (NULL);

  for (size_t i = 0; i < sizeof link_pages / sizeof link_pages[0]; i++)
    {
      const char *page = read_file (ctx, link_pages[i].path);

      for (const char *at = page; (at = strstr (at, "](")) != NULL;)
        {
          char target[WORD_BYTES];
          const char *path;
          FILE *file;

          at += strlen ("](");
          cr_assert_eq (sscanf (at, "%255[^)#]", target), 1);
          if (strncmp (target, "http", 4) == 0)
            continue;
          path
              = talloc_asprintf (ctx, "%s%s", link_pages[i].directory, target);
          file = fopen (path, "r");
          cr_expect_not_null (file, "%s: no %s", link_pages[i].path, path);
          if (file != NULL)
            fclose (file);
        }
    }
  talloc_free (ctx);
}

/* Returns the row of the table of log events for EVENT, owned by CTX.  */
static char *
event_row (TALLOC_CTX *ctx, const char *page, const char *event)
{
  char *name = talloc_asprintf (ctx, "`%s`", event);

  for (const char *at = page; (at = strstr (at, "\n| `")) != NULL; at++)
    {
      char *row = talloc_strndup (ctx, at + 1, strcspn (at + 1, "\n"));
      char *end = strchr (row + 2, '|');
      const char *found = strstr (row, name);

      if (found != NULL && end != NULL && found < end)
        return row;
    }
  return NULL;
}

/* Every log event is documented, with all of its keys.  */
Test (docs, log_events)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  char *page = read_file (ctx, "docs/OPERATIONS.md");

  for (size_t event = 0; event < MQ_LOG_EVENT_COUNT; event++)
    {
      const struct mq_log_row *row = mq_log_row ((enum mq_log_event)event);
      char *keys = talloc_strdup (ctx, row->keys);
      char *text = event_row (ctx, page, row->word);

      cr_expect_not_null (text, "%s has no row", row->word);
      for (char *key = strtok (keys, " "); text != NULL && key != NULL;
           key = strtok (NULL, " "))
        cr_expect_not_null (strstr (text, talloc_asprintf (ctx, "`%s`", key)),
                            "the row of %s does not name %s", row->word, key);
    }
  talloc_free (ctx);
}
