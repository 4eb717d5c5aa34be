/* faults.c - fault injection for the stand-ins.

   Needs: faults.h.  */

#include "faults.h"
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

struct mq_faults
{
  uint32_t kinds;
  struct mq_fault *items;
  size_t count;
};

/* Parsed request body; strings point into its JSON.  */
struct order
{
  const char *fault;
  const char *only;
  const char *match;
  const char *worker;
  json_int_t count;
  json_int_t ms;
  json_int_t status;
  json_int_t retry_after_s;
  json_int_t writes_per_s;
  json_int_t reads_per_s;
  json_int_t tokens;
  json_int_t permille;
  double factor;
};

static const char *const kind_names[MQ_FAULT_COUNT] = {
  [MQ_FAULT_DOWN] = "down",
  [MQ_FAULT_UNREACHABLE] = "unreachable",
  [MQ_FAULT_SLOW] = "slow",
  [MQ_FAULT_LOST_ANSWER] = "lost_answer",
  [MQ_FAULT_LATE_EFFECT] = "late_effect",
  [MQ_FAULT_HANG] = "hang",
  [MQ_FAULT_HOSTS_LAG] = "hosts_lag",
  [MQ_FAULT_RATE] = "rate",
  [MQ_FAULT_STATUS] = "status",
  [MQ_FAULT_REFUSE] = "refuse",
  [MQ_FAULT_CRASH_STREAM] = "crash_stream",
  [MQ_FAULT_EVICT_FAILS] = "evict_fails",
  [MQ_FAULT_EVENTS_GAP] = "events_gap",
  [MQ_FAULT_LOAD_LAG] = "load_lag",
};

static void *
check_alloc (void *memory)
{
  if (memory == NULL)
    abort ();
  return memory;
}

struct mq_faults *
mq_faults_create (TALLOC_CTX *ctx, uint32_t kinds)
{
  struct mq_faults *faults = check_alloc (talloc_zero (ctx, struct mq_faults));

  faults->kinds = kinds;
  return faults;
}

static bool
find_kind (const struct mq_faults *faults, const char *name,
           enum mq_fault_kind *kind)
{
  for (uint32_t i = 0; i < MQ_FAULT_COUNT; i++)
    if (strcmp (kind_names[i], name) == 0)
      {
        *kind = (enum mq_fault_kind)i;
        return (faults->kinds & MQ_FAULT_BIT (i)) != 0;
      }
  return false;
}

static void
remove_at (struct mq_faults *faults, size_t i)
{
  talloc_free ((void *)faults->items[i].match);
  talloc_free ((void *)faults->items[i].worker);
  faults->items[i] = faults->items[--faults->count];
}

static void
clear_kind (struct mq_faults *faults, enum mq_fault_kind kind)
{
  for (size_t i = faults->count; i-- > 0;)
    if (faults->items[i].kind == kind)
      remove_at (faults, i);
}

static void
clear_all (struct mq_faults *faults)
{
  while (faults->count > 0)
    remove_at (faults, faults->count - 1);
}

static void
add (struct mq_faults *faults, const struct mq_fault *fault)
{
  struct mq_fault *item;

  for (size_t i = faults->count; i-- > 0;)
    if (faults->items[i].kind == fault->kind
        && strcmp (faults->items[i].match, fault->match) == 0
        && strcmp (faults->items[i].worker, fault->worker) == 0)
      remove_at (faults, i);
  faults->items = check_alloc (talloc_realloc (
      faults, faults->items, struct mq_fault, faults->count + 1));
  item = &faults->items[faults->count++];
  *item = *fault;
  item->match = check_alloc (talloc_strdup (faults, fault->match));
  item->worker = check_alloc (talloc_strdup (faults, fault->worker));
}

static bool
in_range (json_int_t number)
{
  return number >= 0 && number <= UINT32_MAX;
}

static bool
are_numbers_valid (const struct order *order)
{
  return order->count >= -1 && order->count != 0 && in_range (order->ms)
         && in_range (order->retry_after_s) && in_range (order->writes_per_s)
         && in_range (order->reads_per_s) && order->status >= 200
         && order->status <= 599 && order->tokens >= 1
         && in_range (order->tokens) && order->permille >= 0
         && order->permille <= 1000 && order->factor > 0;
}

/* Rejects unknown keys, so that typing errors are reported.  */
static bool
read_order (json_t *json, struct order *order)
{
  *order = (struct order){ .only = "", .match = "", .worker = "" };
  order->count = -1;
  order->status = 500;
  order->retry_after_s = 1;
  order->tokens = 1;
  order->permille = 1000;
  order->factor = 1;
  return json_unpack (
             json, "{s:s,s?s,s?s,s?s,s?I,s?I,s?I,s?I,s?I,s?I,s?I,s?I,s?F !}",
             "fault", &order->fault, "only", &order->only, "match",
             &order->match, "worker", &order->worker, "count", &order->count,
             "ms", &order->ms, "status", &order->status, "retry_after_s",
             &order->retry_after_s, "writes_per_s", &order->writes_per_s,
             "reads_per_s", &order->reads_per_s, "tokens", &order->tokens,
             "permille", &order->permille, "factor", &order->factor)
             == 0
         && are_numbers_valid (order);
}

static bool
clear (struct mq_faults *faults, const struct order *order)
{
  enum mq_fault_kind kind;

  if (order->only[0] == '\0')
    {
      clear_all (faults);
      return true;
    }
  if (!find_kind (faults, order->only, &kind))
    return false;
  clear_kind (faults, kind);
  return true;
}

static bool
execute (struct mq_faults *faults, const struct order *order)
{
  struct mq_fault fault = {
    .match = order->match,
    .worker = order->worker,
    .ms = (uint32_t)order->ms,
    .status = (uint32_t)order->status,
    .retry_after_s = (uint32_t)order->retry_after_s,
    .writes_per_s = (uint32_t)order->writes_per_s,
    .reads_per_s = (uint32_t)order->reads_per_s,
    .tokens = (uint32_t)order->tokens,
    .permille = (uint32_t)order->permille,
    .factor = order->factor,
    .left = order->count < 0 ? MQ_FAULT_UNTIL_CLEARED : (uint64_t)order->count,
  };

  if (strcmp (order->fault, "clear") == 0)
    return clear (faults, order);
  if (!find_kind (faults, order->fault, &fault.kind))
    return false;
  add (faults, &fault);
  return true;
}

bool
mq_faults_post (struct mq_faults *faults, const char *body, size_t len,
                struct mq_error *error)
{
  json_t *json = json_loadb (body, len, 0, NULL);
  struct order order;
  bool valid;

  if (json == NULL)
    {
      mq_error_set (error, MQ_ERR_BAD_JSON, "fault", "");
      return false;
    }
  valid = read_order (json, &order) && execute (faults, &order);
  if (!valid)
    mq_error_set (error, MQ_ERR_BAD_REQUEST, "fault", "");
  json_decref (json);
  return valid;
}

static bool
begins_with (const char *text, const char *prefix)
{
  return strncmp (text, prefix, strlen (prefix)) == 0;
}

static bool
matches (const struct mq_fault *fault, const struct mq_fault_subject *subject)
{
  if (subject->poll && fault->left != MQ_FAULT_UNTIL_CLEARED)
    return false;
  if (fault->worker[0] != '\0'
      && (subject->worker == NULL
          || strcmp (fault->worker, subject->worker) != 0))
    return false;
  if (fault->match[0] == '\0')
    return true;
  for (size_t i = 0; i < subject->count; i++)
    if (begins_with (subject->names[i], fault->match))
      return true;
  return false;
}

bool
mq_faults_take (struct mq_faults *faults, enum mq_fault_kind kind,
                const struct mq_fault_subject *subject, struct mq_fault *fault)
{
  for (size_t i = 0; i < faults->count; i++)
    {
      struct mq_fault *item = &faults->items[i];

      if (item->kind != kind || !matches (item, subject))
        continue;
      if (fault != NULL)
        {
          *fault = *item;
          fault->match = "";
          fault->worker = "";
        }
      if (item->left != MQ_FAULT_UNTIL_CLEARED && --item->left == 0)
        remove_at (faults, i);
      return true;
    }
  return false;
}
