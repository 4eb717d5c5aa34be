/* text_check.c - cross-section validation of a configuration text.

   Needs: text_check.h, text_hint.h.  */

#include "text_check.h"
#include "text_hint.h"
#include <string.h>

#define LIST_SEPARATOR ','

static void
add_error (struct mq_text_draft *draft, enum mq_error_type type,
           struct mq_text_position position, const char *subject,
           const char *allowed)
{
  mq_error_list_add (&draft->errors, type, position, subject, allowed);
}

static struct mq_text_position
value_position (const struct mq_ini_pair *pair)
{
  struct mq_text_position position = { pair->line, pair->value_column };

  return position;
}

static struct mq_text_position
section_position (const struct mq_ini_section *section)
{
  struct mq_text_position position = { section->line, section->name_column };

  return position;
}

/* Position of the value of KEY, or of the header if KEY is absent.  */
static struct mq_text_position
key_or_header (const struct mq_ini_section *section, const char *key)
{
  const struct mq_ini_pair *pair = mq_ini_find (section, key);

  return pair == NULL ? section_position (section) : value_position (pair);
}

static uint32_t
service_index (const struct mq_text_draft *draft,
               const struct mq_service *service)
{
  return (uint32_t)(service - draft->text->services);
}

/* True when the service has a valid kind; other checks need it.  */
static bool
kind_is_known (const struct mq_text_draft *draft, size_t index)
{
  const struct mq_ini_section *section = draft->service_sections[index];

  return mq_key_section_kinds (mq_text_keys (), section, "kind")
         != MQ_KEY_ALL_KINDS;
}

static void
report_unknown_service (struct mq_text_draft *draft, const char *name,
                        struct mq_text_position position)
{
  const struct mq_text *text = draft->text;
  struct mq_hint hint;
  char allowed[MQ_SUBJECT_MAX];

  mq_hint_init (&hint, name);
  for (size_t i = 0; i < text->service_count; i++)
    mq_hint_add (&hint, text->services[i].name);
  mq_hint_format (&hint, allowed);
  add_error (draft, MQ_ERR_TEXT_UNKNOWN_NAME, position, name, allowed);
}

/* Dependencies.  */

/* Position of one name within a comma-separated value.  */
struct list_item
{
  size_t offset;
  size_t len;
};

/* Gets the item at *AT and advances *AT past it; false at the end.  */
static bool
next_item (const char *list, size_t *at, struct list_item *item)
{
  size_t start = *at;
  size_t end;

  if (start > strlen (list))
    return false;
  end = start + strcspn (list + start, ",");
  *at = end + 1;
  while (start < end && (list[start] == ' ' || list[start] == '\t'))
    start++;
  while (end > start && (list[end - 1] == ' ' || list[end - 1] == '\t'))
    end--;
  item->offset = start;
  item->len = end - start;
  return true;
}

static bool
already_depends (const struct mq_service *service, uint32_t index)
{
  for (size_t i = 0; i < service->depend_count; i++)
    if (service->depends[i] == index)
      return true;
  return false;
}

static void
add_dependency (struct mq_text_draft *draft, struct mq_service *service,
                const char *name, struct mq_text_position position)
{
  const struct mq_service *on = mq_text_find_service (draft->text, name);
  uint32_t index;

  if (on == NULL)
    {
      report_unknown_service (draft, name, position);
      return;
    }
  index = service_index (draft, on);
  if (already_depends (service, index))
    add_error (draft, MQ_ERR_TEXT_DUPLICATE, position, name,
               "each service at most once in depends");
  else
    service->depends[service->depend_count++] = index;
}

static size_t
count_items (const char *list)
{
  size_t count = 1;

  for (; *list != '\0'; list++)
    count += *list == LIST_SEPARATOR;
  return count;
}

static void
read_items (struct mq_text_draft *draft, struct mq_service *service,
            const struct mq_ini_pair *pair)
{
  struct list_item item;
  size_t at = 0;

  while (next_item (pair->value, &at, &item))
    {
      char *name = talloc_strndup (draft, pair->value + item.offset, item.len);
      struct mq_text_position position
          = { pair->line, pair->value_column + (uint32_t)item.offset };

      if (item.len == 0)
        add_error (draft, MQ_ERR_TEXT_BAD_VALUE, position, "depends",
                   "non-empty service names, separated by commas");
      else
        add_dependency (draft, service, name, position);
      talloc_free (name);
    }
}

/* False if a dependency has an unknown name or kind.  It may be the model, so
   a missing model is not reported then.  */
static bool
all_resolved (const struct mq_text_draft *draft,
              const struct mq_service *service, const struct mq_ini_pair *pair)
{
  for (size_t i = 0; i < service->depend_count; i++)
    if (!kind_is_known (draft, service->depends[i]))
      return false;
  return service->depend_count == count_items (pair->value);
}

static void
check_model (struct mq_text_draft *draft, const struct mq_service *service,
             const struct mq_ini_pair *pair)
{
  const struct mq_text *text = draft->text;
  size_t models = 0;
  char *subject;

  for (size_t i = 0; i < service->depend_count; i++)
    models += kind_is_known (draft, service->depends[i])
              && text->services[service->depends[i]].kind == MQ_SERVICE_MODEL;
  if (models == 1 || (models == 0 && !all_resolved (draft, service, pair)))
    return;
  subject = talloc_asprintf (draft, "depends of %s names %s", service->name,
                             models == 0 ? "no model service"
                                         : "more than one model service");
  add_error (draft, models == 0 ? MQ_ERR_TEXT_MISSING : MQ_ERR_TEXT_BAD_VALUE,
             value_position (pair), subject, "exactly one model service");
  talloc_free (subject);
}

static void
read_dependencies (struct mq_text_draft *draft, size_t index)
{
  struct mq_service *service = &draft->text->services[index];
  const struct mq_ini_pair *pair
      = mq_ini_find (draft->service_sections[index], "depends");

  if (pair == NULL || pair->value[0] == '\0')
    return;
  service->depends
      = talloc_array (draft->text, uint32_t, count_items (pair->value));
  if (service->depends == NULL)
    return;
  read_items (draft, service, pair);
  check_model (draft, service, pair);
}

/* Dependency cycles.  */

enum visit_state
{
  VISIT_NEW,
  VISIT_OPEN, /* on the current path */
  VISIT_DONE
};

/* Depth-first search with an explicit stack, so that a long dependency chain
   cannot overflow the C stack.  */
struct cycle_search
{
  struct mq_text_draft *draft;
  uint8_t *states;
  uint32_t *path;
  size_t *next; /* per path entry: next dependency to visit */
  size_t depth;
};

static void
report_cycle (struct cycle_search *search, uint32_t repeated)
{
  const struct mq_text *text = search->draft->text;
  uint32_t last = search->path[search->depth - 1];
  const struct mq_ini_section *section = search->draft->service_sections[last];
  char *subject = talloc_strdup (search->draft, "");
  size_t start = search->depth - 1;

  while (search->path[start] != repeated)
    start--;
  for (size_t i = start; i < search->depth; i++)
    subject = talloc_asprintf_append (subject, "%s -> ",
                                      text->services[search->path[i]].name);
  subject
      = talloc_asprintf_append (subject, "%s", text->services[repeated].name);
  add_error (search->draft, MQ_ERR_TEXT_CYCLE,
             key_or_header (section, "depends"), subject,
             "no dependency cycles");
  talloc_free (subject);
}

static void
push_service (struct cycle_search *search, uint32_t index)
{
  search->states[index] = VISIT_OPEN;
  search->path[search->depth] = index;
  search->next[search->depth] = 0;
  search->depth++;
}

static void
search_step (struct cycle_search *search)
{
  uint32_t last = search->path[search->depth - 1];
  const struct mq_service *service = &search->draft->text->services[last];
  size_t *next = &search->next[search->depth - 1];
  uint32_t to;

  if (*next == service->depend_count)
    {
      search->states[last] = VISIT_DONE;
      search->depth--;
      return;
    }
  to = service->depends[(*next)++];
  if (search->states[to] == VISIT_OPEN)
    report_cycle (search, to);
  else if (search->states[to] == VISIT_NEW)
    push_service (search, to);
}

static void
check_cycles (struct mq_text_draft *draft)
{
  size_t count = draft->text->service_count;
  struct cycle_search search = { .draft = draft };

  search.states = talloc_zero_array (draft, uint8_t, count);
  search.path = talloc_array (draft, uint32_t, count);
  search.next = talloc_array (draft, size_t, count);
  if (search.states == NULL || search.path == NULL || search.next == NULL)
    return;
  for (size_t i = 0; i < count; i++)
    {
      if (search.states[i] == VISIT_NEW)
        push_service (&search, (uint32_t)i);
      while (search.depth > 0)
        search_step (&search);
    }
}

/* Budgets.  */

static void
check_budget (struct mq_text_draft *draft, size_t index)
{
  const struct mq_text *text = draft->text;
  const struct mq_service *agent = &text->services[index];
  struct mq_text_position position
      = key_or_header (draft->service_sections[index], "budget_tokens");

  for (size_t i = 0; i < agent->depend_count; i++)
    {
      const struct mq_service *model = &text->services[agent->depends[i]];
      char *subject;
      char *allowed;

      if (model->kind != MQ_SERVICE_MODEL || agent->budget.tokens == 0
          || agent->budget.tokens >= model->max_tokens)
        continue;
      subject
          = talloc_asprintf (draft, "budget_tokens of %s: %llu", agent->name,
                             (unsigned long long)agent->budget.tokens);
      allowed = talloc_asprintf (draft, "at least max_tokens of %s: %u",
                                 model->name, model->max_tokens);
      add_error (draft, MQ_ERR_TEXT_BUDGET, position, subject, allowed);
      talloc_free (subject);
      talloc_free (allowed);
    }
}

/* Routes.  */

static struct mq_route *
add_route (struct mq_text *text, struct mq_service *service, const char *name)
{
  struct mq_route *routes;

  routes = talloc_realloc (text, service->routes, struct mq_route,
                           service->route_count + 1);
  if (routes == NULL)
    return NULL;
  service->routes = routes;
  memset (&routes[service->route_count], 0, sizeof routes[0]);
  routes[service->route_count].name = talloc_strdup (text, name);
  return &routes[service->route_count++];
}

static struct mq_service *
route_service (struct mq_text_draft *draft,
               const struct mq_ini_section *section, const char *dot)
{
  char *name
      = talloc_strndup (draft, section->name, (size_t)(dot - section->name));
  const struct mq_service *found = mq_text_find_service (draft->text, name);
  struct mq_service *service = NULL;

  if (found == NULL)
    report_unknown_service (draft, name, section_position (section));
  else
    service = &draft->text->services[service_index (draft, found)];
  talloc_free (name);
  return service;
}

static void
read_route (struct mq_text_draft *draft, const struct mq_ini_section *section)
{
  const char *dot = strchr (section->name, '.');
  struct mq_service *service = route_service (draft, section, dot);
  struct mq_route *route;
  struct mq_route unused = { 0 };

  if (service != NULL && service->kind != MQ_SERVICE_PLAIN
      && kind_is_known (draft, service_index (draft, service)))
    add_error (draft, MQ_ERR_TEXT_BAD_VALUE, section_position (section),
               section->name,
               "[route SERVICE.NAME] where SERVICE is of kind plain");
  route
      = service == NULL ? &unused : add_route (draft->text, service, dot + 1);
  if (route != NULL)
    mq_key_read_section (draft->text, mq_text_keys (), section,
                         MQ_KEY_ALL_KINDS, route, &draft->errors);
}

static void
read_routes (struct mq_text_draft *draft)
{
  for (size_t i = 0; i < draft->ini->section_count; i++)
    if (draft->rows[i] != NULL && draft->rows[i]->dotted)
      read_route (draft, &draft->ini->sections[i]);
}

static void
check_has_routes (struct mq_text_draft *draft, size_t index)
{
  const struct mq_service *service = &draft->text->services[index];
  char *subject;
  char *allowed;

  if (service->route_count > 0)
    return;
  subject
      = talloc_asprintf (draft, "route of plain service %s", service->name);
  allowed = talloc_asprintf (draft, "[route %s.NAME]", service->name);
  add_error (draft, MQ_ERR_TEXT_MISSING,
             section_position (draft->service_sections[index]), subject,
             allowed);
  talloc_free (subject);
  talloc_free (allowed);
}

/* Organisations.  */

static bool
key_is_set (const struct mq_organisation *organisation)
{
  static const uint8_t none[MQ_KEY_BYTES];

  return memcmp (organisation->key_hash, none, sizeof none) != 0;
}

/* Organisations with the same key would have access to each other's
   programs.  */
static void
check_keys (struct mq_text_draft *draft)
{
  const struct mq_text *text = draft->text;

  for (size_t i = 1; i < text->organisation_count; i++)
    {
      uint32_t at = text->organisations_by_key[i];
      const struct mq_organisation *a
          = &text->organisations[text->organisations_by_key[i - 1]];
      const struct mq_organisation *b = &text->organisations[at];
      char *subject;

      if (!key_is_set (b)
          || memcmp (a->key_hash, b->key_hash, MQ_KEY_BYTES) != 0)
        continue;
      subject = talloc_asprintf (draft, "key_sha256 of %s, same as of %s",
                                 b->name, a->name);
      add_error (
          draft, MQ_ERR_TEXT_DUPLICATE,
          key_or_header (draft->organisation_sections[at], "key_sha256"),
          subject, "a different key for each organisation");
      talloc_free (subject);
    }
}

void
mq_text_check (struct mq_text_draft *draft)
{
  const struct mq_text *text = draft->text;

  read_routes (draft);
  for (size_t i = 0; i < text->service_count; i++)
    if (kind_is_known (draft, i) && text->services[i].kind == MQ_SERVICE_AGENT)
      read_dependencies (draft, i);
  check_cycles (draft);
  for (size_t i = 0; i < text->service_count; i++)
    {
      if (!kind_is_known (draft, i))
        continue;
      if (text->services[i].kind == MQ_SERVICE_AGENT)
        check_budget (draft, i);
      else if (text->services[i].kind == MQ_SERVICE_PLAIN)
        check_has_routes (draft, i);
    }
  check_keys (draft);
}
