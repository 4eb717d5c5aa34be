/* router_identify.c - the organisation of a request and the stored ids of its
   program and turns.

   Needs: router_request.h.  */

#include "router_request.h"
#include <string.h>

/* Minimum interval between queries for a newer configuration caused by unknown
   keys, so that forged keys do not load the table.  Newly added keys arrive
   through the feed.  */
#define KEY_ASK_MS 1000U

static const char *
scoped (const struct mq_request *request, const char *id)
{
  if (id == NULL)
    return NULL;
  return mq_org_scoped_id ((TALLOC_CTX *)(uintptr_t)request, request->org, id);
}

/* Without organisations ids are stored unchanged.  */
static void
set_ids (struct mq_request *request, const struct mq_route_table *table)
{
  const struct mq_request_fields *fields = &request->fields;
  bool plain = table->orgs == NULL;

  request->program
      = plain ? fields->program : scoped (request, fields->program);
  request->turn_id = plain ? fields->id : scoped (request, fields->id);
  request->previous
      = plain ? fields->previous : scoped (request, fields->previous);
  request->resumes
      = plain ? fields->resumes : scoped (request, fields->resumes);
}

enum request_identity
request_identify (struct mq_request *request,
                  const struct mq_route_table *table,
                  const struct mq_path_route *route)
{
  request->org = NULL;
  if (table->orgs != NULL && !route->is_public)
    {
      if (request->fields.key_count > 1)
        return REQUEST_KEY_AMBIGUOUS;
      request->org = mq_orgs_find_key (table->orgs, request->fields.key);
      if (request->org == NULL)
        return REQUEST_KEY_UNKNOWN;
    }
  set_ids (request, table);
  return REQUEST_IDENTIFIED;
}

bool
request_begins_program (const struct mq_request *request)
{
  return request->route->kind == MQ_ROUTE_STREAM && request->fields.main_line
         && request->previous == NULL && request->fields.last_event == NULL
         && !mq_turns_has_program (request->router->turns, request->program);
}

bool
request_key_lookup_is_fresh (const struct mq_request *request)
{
  return mq_rows_feeds_healthy (request->router->rows)
         && mq_config_confirmed_within (request->router, KEY_ASK_MS);
}

bool
request_key_is_still_valid (const struct mq_request *request)
{
  const struct mq_route_table *now = request->router->routes;
  const struct mq_org *org;

  if (request->org == NULL || now == request->table || now->orgs == NULL)
    return true;
  org = mq_orgs_find_key (now->orgs, request->fields.key);
  return org != NULL && strcmp (org->name, request->org->name) == 0;
}

uint32_t
request_priority (const struct mq_request *request)
{
  if (request->org != NULL && request->org->has_priority)
    return request->org->priority;
  return request->route->priority;
}
