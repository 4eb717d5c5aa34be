/* text_diff.c - differences between two configurations.

   Needs: text_diff.h, text_keys.h, jansson.  */

#include "text_diff.h"
#include "text_keys.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define SHOWN_MAX 60 /* bytes of a value shown in a line */

struct diff_work
{
  struct mq_text_diff *diff;
  const struct mq_text *before;
  const struct mq_text *after;
};

static struct mq_text_change *
add_change (struct diff_work *work, enum mq_change_type type,
            const char *section, const char *name)
{
  struct mq_text_diff *diff = work->diff;
  struct mq_text_change *items;

  items = talloc_realloc (diff, diff->items, struct mq_text_change,
                          diff->count + 1);
  if (items == NULL)
    return NULL;
  diff->items = items;
  items[diff->count] = (struct mq_text_change){ .type = type,
                                                .section = section,
                                                .name = name,
                                                .key = "",
                                                .before = "",
                                                .after = "",
                                                .effect = "" };
  return &items[diff->count++];
}

static void
add_section_change (struct diff_work *work, enum mq_change_type type,
                    const char *section, const char *name, const char *effect)
{
  struct mq_text_change *change = add_change (work, type, section, name);

  if (change != NULL)
    change->effect = effect;
}

/* Keys of sections present in both texts.  */

/* A section present in both texts.  */
struct section_pair
{
  const char *section;
  const char *name;
  const void *before;
  const void *after;
  uint32_t kinds; /* kinds of BEFORE and AFTER */
};

static const char *
print_depends (TALLOC_CTX *ctx, const struct mq_text *text,
               const struct mq_service *service)
{
  char *list = talloc_strdup (ctx, "");

  for (size_t i = 0; i < service->depend_count; i++)
    list = talloc_asprintf_append (list, "%s%s", i == 0 ? "" : ", ",
                                   text->services[service->depends[i]].name);
  return list;
}

static const char *
print_value (TALLOC_CTX *ctx, const struct mq_text *text,
             const struct mq_key *key, const void *target)
{
  if (key->type == MQ_KEY_NAMES)
    return print_depends (ctx, text, target);
  return mq_key_print (ctx, key, target);
}

/* The effect of "idempotent" depends on the new value: calls may run twice
   only if repeats become allowed.  */
static const char *
change_effect (const struct mq_key *key, const char *after)
{
  if (strcmp (key->name, "idempotent") != 0)
    return key->effect;
  return strcmp (after, "yes") == 0
             ? "calls may be repeated from now on: the target must allow it"
             : "calls run at most once from now on";
}

static void
compare_key (struct diff_work *work, const struct section_pair *pair,
             const struct mq_key *key)
{
  struct mq_text_diff *diff = work->diff;
  const char *before = print_value (diff, work->before, key, pair->before);
  const char *after = print_value (diff, work->after, key, pair->after);
  struct mq_text_change *change;

  if (before == NULL || after == NULL || strcmp (before, after) == 0)
    return;
  change = add_change (work, MQ_CHANGE_CHANGED, pair->section, pair->name);
  if (change == NULL)
    return;
  change->key = key->name;
  change->before = before;
  change->after = after;
  change->effect = change_effect (key, after);
  change->refused = strcmp (key->name, "partitions") == 0;
}

static void
compare_keys (struct diff_work *work, const struct section_pair *pair)
{
  const struct mq_key_table *table = mq_text_keys ();

  for (size_t i = 0; i < table->key_count; i++)
    {
      const struct mq_key *key = &table->keys[i];

      if (strcmp (key->section, pair->section) == 0
          && (key->kinds & pair->kinds) == pair->kinds)
        compare_key (work, pair, key);
    }
}

/* Sections.  */

static void
compare_sites (struct diff_work *work)
{
  struct section_pair pair
      = { "site", "", work->before, work->after, MQ_KEY_ALL_KINDS };

  if (work->before == NULL)
    add_section_change (work, MQ_CHANGE_ADDED, "site", "",
                        "first text of the site");
  else
    compare_keys (work, &pair);
}

static void
compare_organisations (struct diff_work *work)
{
  const struct mq_text *before = work->before;
  const struct mq_text *after = work->after;

  for (size_t i = 0; i < after->organisation_count; i++)
    {
      const struct mq_organisation *now = &after->organisations[i];
      const struct mq_organisation *was
          = before == NULL ? NULL
                           : mq_text_find_organisation (before, now->name);
      struct section_pair pair
          = { "organisation", now->name, was, now, MQ_KEY_ALL_KINDS };

      if (was == NULL)
        add_section_change (work, MQ_CHANGE_ADDED, "organisation", now->name,
                            "its key is accepted from now on");
      else
        compare_keys (work, &pair);
    }
  for (size_t i = 0; before != NULL && i < before->organisation_count; i++)
    if (mq_text_find_organisation (after, before->organisations[i].name)
        == NULL)
      add_section_change (work, MQ_CHANGE_REMOVED, "organisation",
                          before->organisations[i].name,
                          "its key is refused from now on");
}

static const char *
route_name (struct diff_work *work, const struct mq_service *service,
            const struct mq_route *route)
{
  return talloc_asprintf (work->diff, "%s.%s", service->name, route->name);
}

static void
compare_routes (struct diff_work *work, const struct mq_service *was,
                const struct mq_service *now)
{
  for (size_t i = 0; i < now->route_count; i++)
    {
      const struct mq_route *route = &now->routes[i];
      const struct mq_route *old
          = was == NULL ? NULL : mq_text_find_route (was, route->name);
      const char *name = route_name (work, now, route);
      struct section_pair pair
          = { "route", name, old, route, MQ_KEY_ALL_KINDS };

      if (old == NULL)
        add_section_change (work, MQ_CHANGE_ADDED, "route", name,
                            route->idempotent
                                ? "may be called; calls may be repeated"
                                : "may be called; calls run at most once");
      else
        compare_keys (work, &pair);
    }
  for (size_t i = 0; was != NULL && i < was->route_count; i++)
    if (mq_text_find_route (now, was->routes[i].name) == NULL)
      add_section_change (work, MQ_CHANGE_REMOVED, "route",
                          route_name (work, was, &was->routes[i]),
                          "calls to it are refused from now on");
}

static const char *
added_effect (const struct mq_service *service)
{
  switch (service->kind)
    {
    case MQ_SERVICE_AGENT:
      return "its programs may be opened from now on";
    case MQ_SERVICE_MODEL:
    case MQ_SERVICE_PLAIN:
      break;
    case MQ_SERVICE_TOOL:
      return service->idempotent
                 ? "calls need a target that serves it; they may be repeated"
                 : "calls need a target that serves it; they run at most "
                   "once";
    }
  return "calls need a target that serves it";
}

static const char *
removed_effect (const struct mq_service *service)
{
  return service->kind == MQ_SERVICE_AGENT
             ? "no program of it can be opened from now on"
             : "calls to it are refused from now on";
}

static void
compare_services (struct diff_work *work)
{
  const struct mq_text *before = work->before;
  const struct mq_text *after = work->after;

  for (size_t i = 0; i < after->service_count; i++)
    {
      const struct mq_service *now = &after->services[i];
      const struct mq_service *was
          = before == NULL ? NULL : mq_text_find_service (before, now->name);
      struct section_pair pair
          = { "service", now->name, was, now, MQ_KIND_BIT (now->kind) };

      if (was == NULL)
        add_section_change (work, MQ_CHANGE_ADDED, "service", now->name,
                            added_effect (now));
      else
        {
          pair.kinds |= MQ_KIND_BIT (was->kind);
          compare_keys (work, &pair);
        }
      compare_routes (work, was, now);
    }
  for (size_t i = 0; before != NULL && i < before->service_count; i++)
    if (mq_text_find_service (after, before->services[i].name) == NULL)
      add_section_change (work, MQ_CHANGE_REMOVED, "service",
                          before->services[i].name,
                          removed_effect (&before->services[i]));
}

struct mq_text_diff *
mq_text_diff_create (TALLOC_CTX *ctx, const struct mq_text *before,
                     const struct mq_text *after)
{
  struct diff_work work = { .before = before, .after = after };

  work.diff = talloc_zero (ctx, struct mq_text_diff);
  if (work.diff == NULL)
    return NULL;
  compare_sites (&work);
  compare_organisations (&work);
  compare_services (&work);
  return work.diff;
}

const struct mq_text_change *
mq_text_diff_refused (const struct mq_text_diff *diff)
{
  for (size_t i = 0; i < diff->count; i++)
    if (diff->items[i].refused)
      return &diff->items[i];
  return NULL;
}

/* Output.  */

static const char *
change_name (enum mq_change_type type)
{
  switch (type)
    {
    case MQ_CHANGE_ADDED:
      return "added";
    case MQ_CHANGE_REMOVED:
      return "removed";
    case MQ_CHANGE_CHANGED:
      return "changed";
    }
  return "";
}

/* VALUE on one line: newlines shown as \n, truncated to SHOWN_MAX.  */
static char *
show_value (TALLOC_CTX *ctx, const char *value)
{
  char *shown = talloc_strdup (ctx, "");
  size_t len = strlen (value);
  size_t cut = len < SHOWN_MAX ? len : SHOWN_MAX;

  while (cut > 0 && cut < len && ((unsigned char)value[cut] & 0xc0) == 0x80)
    cut--;
  for (size_t i = 0; i < cut; i++)
    shown = value[i] == '\n'
                ? talloc_strdup_append_buffer (shown, "\\n")
                : talloc_strndup_append_buffer (shown, &value[i], 1);
  if (cut < len)
    shown = talloc_strdup_append_buffer (shown, "...");
  return shown;
}

static char *
append_change (char *text, const struct mq_text_change *change)
{
  static const char signs[] = { '+', '-', '~' };

  text = talloc_asprintf_append_buffer (
      text, "%c [%s%s%s]", signs[change->type], change->section,
      *change->name == '\0' ? "" : " ", change->name);
  if (change->type == MQ_CHANGE_CHANGED)
    {
      char *before = show_value (NULL, change->before);
      char *after = show_value (NULL, change->after);

      text = talloc_asprintf_append_buffer (text, " %s: %s -> %s", change->key,
                                            before, after);
      talloc_free (before);
      talloc_free (after);
    }
  return talloc_asprintf_append_buffer (text, "\n    %s\n", change->effect);
}

char *
mq_text_diff_text (TALLOC_CTX *ctx, const struct mq_text_diff *diff)
{
  char *text = talloc_strdup (ctx, diff->count == 0 ? "no difference\n" : "");

  for (size_t i = 0; i < diff->count; i++)
    text = append_change (text, &diff->items[i]);
  return text;
}

static json_t *
change_json (const struct mq_text_change *change)
{
  return json_pack ("{ss ss ss ss ss ss ss sb}", "type",
                    change_name (change->type), "section", change->section,
                    "name", change->name, "key", change->key, "before",
                    change->before, "after", change->after, "effect",
                    change->effect, "refused", (int)change->refused);
}

char *
mq_text_diff_json (TALLOC_CTX *ctx, const struct mq_text_diff *diff)
{
  json_t *changes = json_array ();
  json_t *root;
  char *dump;
  char *text;

  for (size_t i = 0; i < diff->count; i++)
    json_array_append_new (changes, change_json (&diff->items[i]));
  root = json_pack ("{so}", "changes", changes);
  dump = json_dumps (root, JSON_COMPACT);
  text = dump == NULL ? NULL : talloc_strdup (ctx, dump);
  free (dump);
  json_decref (root);
  return text;
}
