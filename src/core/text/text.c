/* text.c - building a validated configuration from INI sections.

   Needs: text.h, text_keys.h, text_check.h.  */

#include "text.h"
#include "text_check.h"
#include <stdlib.h>
#include <string.h>

/* Sections to structures.  */

static size_t
count_sections (const struct mq_text_draft *draft, const char *type)
{
  size_t count = 0;

  for (size_t i = 0; i < draft->ini->section_count; i++)
    if (draft->rows[i] != NULL && strcmp (draft->rows[i]->type, type) == 0)
      count++;
  return count;
}

static bool
make_arrays (struct mq_text_draft *draft)
{
  struct mq_text *text = draft->text;
  size_t services = count_sections (draft, "service");
  size_t organisations = count_sections (draft, "organisation");

  text->services = talloc_zero_array (text, struct mq_service, services);
  text->organisations
      = talloc_zero_array (text, struct mq_organisation, organisations);
  draft->service_sections
      = talloc_zero_array (draft, const struct mq_ini_section *, services);
  draft->organisation_sections = talloc_zero_array (
      draft, const struct mq_ini_section *, organisations);
  return text->services != NULL && text->organisations != NULL
         && draft->service_sections != NULL
         && draft->organisation_sections != NULL;
}

static void
read_section (struct mq_text_draft *draft,
              const struct mq_ini_section *section, uint32_t kinds,
              void *target)
{
  mq_key_read_section (draft->text, mq_text_keys (), section, kinds, target,
                       &draft->errors);
}

static void
read_service (struct mq_text_draft *draft,
              const struct mq_ini_section *section)
{
  struct mq_text *text = draft->text;
  size_t index = text->service_count++;
  struct mq_service *service = &text->services[index];
  uint32_t kinds = mq_key_section_kinds (mq_text_keys (), section, "kind");

  service->name = talloc_strdup (text, section->name);
  draft->service_sections[index] = section;
  read_section (draft, section, kinds, service);
}

static void
read_organisation (struct mq_text_draft *draft,
                   const struct mq_ini_section *section)
{
  struct mq_text *text = draft->text;
  size_t index = text->organisation_count++;
  struct mq_organisation *organisation = &text->organisations[index];

  organisation->name = talloc_strdup (text, section->name);
  draft->organisation_sections[index] = section;
  read_section (draft, section, MQ_KEY_ALL_KINDS, organisation);
}

/* Routes are read later, since a route may precede its service.  */
static void
read_sections (struct mq_text_draft *draft)
{
  for (size_t i = 0; i < draft->ini->section_count; i++)
    {
      const struct mq_ini_section *section = &draft->ini->sections[i];

      if (draft->rows[i] == NULL)
        continue;
      if (strcmp (section->type, "site") == 0)
        read_section (draft, section, MQ_KEY_ALL_KINDS, draft->text);
      else if (strcmp (section->type, "service") == 0)
        read_service (draft, section);
      else if (strcmp (section->type, "organisation") == 0)
        read_organisation (draft, section);
    }
}

/* Indices sorted by name and by key.  */

static int
compare_service_names (const void *left, const void *right, void *data)
{
  const struct mq_text *text = data;

  return strcmp (text->services[*(const uint32_t *)left].name,
                 text->services[*(const uint32_t *)right].name);
}

static int
compare_organisation_names (const void *left, const void *right, void *data)
{
  const struct mq_text *text = data;

  return strcmp (text->organisations[*(const uint32_t *)left].name,
                 text->organisations[*(const uint32_t *)right].name);
}

static int
compare_keys (const void *left, const void *right, void *data)
{
  const struct mq_text *text = data;
  uint32_t a = *(const uint32_t *)left;
  uint32_t b = *(const uint32_t *)right;
  int order = memcmp (text->organisations[a].key_hash,
                      text->organisations[b].key_hash, MQ_KEY_BYTES);

  if (order == 0)
    order = a < b ? -1 : 1;
  return order;
}

static uint32_t *
make_index (struct mq_text *text, size_t count,
            int (*compare) (const void *, const void *, void *))
{
  uint32_t *index = talloc_array (text, uint32_t, count);

  if (index == NULL)
    return NULL;
  for (size_t i = 0; i < count; i++)
    index[i] = (uint32_t)i;
  if (count > 1)
    qsort_r (index, count, sizeof index[0], compare, text);
  return index;
}

static bool
make_indices (struct mq_text *text)
{
  text->services_by_name
      = make_index (text, text->service_count, compare_service_names);
  text->organisations_by_name = make_index (text, text->organisation_count,
                                            compare_organisation_names);
  text->organisations_by_key
      = make_index (text, text->organisation_count, compare_keys);
  return text->services_by_name != NULL && text->organisations_by_name != NULL
         && text->organisations_by_key != NULL;
}

/* Entry points.  */

static struct mq_text_draft *
start_draft (TALLOC_CTX *ctx, struct mq_text_errors *errors)
{
  struct mq_text_draft *draft = talloc_zero (ctx, struct mq_text_draft);

  if (draft == NULL)
    return NULL;
  draft->errors.ctx = ctx;
  draft->errors.errors = errors;
  draft->text = talloc_zero (draft, struct mq_text);
  return draft;
}

static bool
fill_draft (struct mq_text_draft *draft, const char *source, size_t len)
{
  if (draft->text == NULL)
    return false;
  draft->ini = mq_ini_read (draft, source, len, &draft->errors);
  if (draft->ini == NULL)
    return false;
  draft->rows = mq_key_check_headers (draft, mq_text_keys (), draft->ini,
                                      &draft->errors);
  if (draft->rows == NULL || !make_arrays (draft))
    return false;
  read_sections (draft);
  return make_indices (draft->text);
}

struct mq_text *
mq_text_parse (TALLOC_CTX *ctx, const char *source, size_t len,
               struct mq_text_errors *errors)
{
  struct mq_text_draft *draft;
  struct mq_text *text = NULL;
  struct mq_text_position start = { 1, 1 };

  memset (errors, 0, sizeof *errors);
  draft = start_draft (ctx, errors);
  if (draft != NULL && fill_draft (draft, source, len))
    mq_text_check (draft);
  else if (draft != NULL && errors->count == 0)
    mq_error_list_add (&draft->errors, MQ_ERR_NO_MEMORY, start, "the text",
                       "");
  if (draft != NULL && errors->count == 0)
    text = talloc_steal (ctx, draft->text);
  else if (draft != NULL)
    mq_error_list_sort (&draft->errors);
  talloc_free (draft);
  return text;
}

static const uint32_t *
search (const struct mq_text *text, const uint32_t *index, size_t count,
        int (*compare) (const struct mq_text *, uint32_t, const void *),
        const void *wanted)
{
  size_t low = 0;
  size_t high = count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      int order = compare (text, index[middle], wanted);

      if (order == 0)
        return &index[middle];
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

static int
match_service (const struct mq_text *text, uint32_t index, const void *name)
{
  return strcmp (text->services[index].name, name);
}

static int
match_organisation (const struct mq_text *text, uint32_t index,
                    const void *name)
{
  return strcmp (text->organisations[index].name, name);
}

static int
match_key (const struct mq_text *text, uint32_t index, const void *hash)
{
  return memcmp (text->organisations[index].key_hash, hash, MQ_KEY_BYTES);
}

const struct mq_service *
mq_text_find_service (const struct mq_text *text, const char *name)
{
  const uint32_t *at;

  if (name == NULL)
    return NULL;
  at = search (text, text->services_by_name, text->service_count,
               match_service, name);
  return at == NULL ? NULL : &text->services[*at];
}

const struct mq_route *
mq_text_find_route (const struct mq_service *service, const char *name)
{
  if (name == NULL)
    return NULL;
  for (size_t i = 0; i < service->route_count; i++)
    if (strcmp (service->routes[i].name, name) == 0)
      return &service->routes[i];
  return NULL;
}

const struct mq_organisation *
mq_text_find_organisation (const struct mq_text *text, const char *name)
{
  const uint32_t *at;

  if (name == NULL)
    return NULL;
  at = search (text, text->organisations_by_name, text->organisation_count,
               match_organisation, name);
  return at == NULL ? NULL : &text->organisations[*at];
}

/* Compares hashes of keys, so the duration of the search reveals nothing
   useful about the key.  */
const struct mq_organisation *
mq_text_find_key (const struct mq_text *text,
                  const uint8_t key_hash[MQ_KEY_BYTES])
{
  const uint32_t *at;

  at = search (text, text->organisations_by_key, text->organisation_count,
               match_key, key_hash);
  return at == NULL ? NULL : &text->organisations[*at];
}

bool
mq_text_depends (const struct mq_text *text, const struct mq_service *from,
                 const struct mq_service *on)
{
  for (size_t i = 0; i < from->depend_count; i++)
    if (&text->services[from->depends[i]] == on)
      return true;
  return false;
}
