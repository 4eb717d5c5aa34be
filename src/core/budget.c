/* budget.c - what a program may still generate, agreed among entry hosts.

   Needs: budget.h, proto/turn.pb-c.h.  */

#include "budget.h"
#include "../../proto/turn.pb-c.h"
#include <string.h>

static uint64_t
counted (const struct mq_budget_record *record)
{
  uint64_t total = record->spent;

  for (uint32_t i = 0; i < record->grant_count; i++)
    total += record->grants[i].tokens;
  return total;
}

static uint64_t
grant_of (const struct mq_budget_record *record, uint64_t holder)
{
  for (uint32_t i = 0; i < record->grant_count; i++)
    if (record->grants[i].holder == holder)
      return record->grants[i].tokens;
  return 0;
}

static void
remove_grant (struct mq_budget_record *record, uint32_t index)
{
  record->grant_count--;
  record->grants[index] = record->grants[record->grant_count];
}

/* Sets the grant of HOLDER.  Where the record has no room for another
   holder, the first one's grant is settled as spent: that costs tokens, never
   the bound.  */
static void
set_grant (struct mq_budget_record *record, uint64_t holder, uint64_t tokens)
{
  for (uint32_t i = 0; i < record->grant_count; i++)
    if (record->grants[i].holder == holder)
      {
        record->grants[i].tokens = tokens;
        if (tokens == 0)
          remove_grant (record, i);
        return;
      }
  if (tokens == 0)
    return;
  if (record->grant_count == MQ_BUDGET_HOLDERS_MAX)
    {
      record->spent += record->grants[0].tokens;
      remove_grant (record, 0);
    }
  record->grants[record->grant_count++]
      = (struct mq_budget_grant){ holder, tokens };
}

/* The record with what we have handed out settled and our grant raised by
   EXTRA.  */
static void
make_next (const struct mq_budget *budget, uint64_t holder, uint64_t limit,
           uint64_t extra, struct mq_budget_record *next)
{
  uint64_t granted = grant_of (&budget->record, holder);

  *next = budget->record;
  next->limit = limit;
  next->spent += granted - budget->held;
  set_grant (next, holder, budget->held + extra);
}

/* What is settled and what we handed out never becomes less, whatever others
   give back.  */
static bool
is_proven (const struct mq_budget *budget, uint64_t holder, uint64_t limit)
{
  uint64_t used = grant_of (&budget->record, holder) - budget->held;

  return budget->record.spent + used >= limit;
}

/* A turn may start as long as all the others, at their most, stay below the
   limit: together they then exceed it by less than one turn.  */
enum mq_budget_answer
mq_budget_ask (struct mq_budget *budget, uint64_t holder, uint64_t limit,
               uint64_t most, struct mq_budget_record *next)
{
  uint64_t unused = budget->held - budget->reserved;
  uint64_t others = counted (&budget->record) - unused;
  uint64_t extra;

  if (unused >= most)
    {
      budget->reserved += most;
      return MQ_BUDGET_READY;
    }
  if (others >= limit && !budget->known)
    return MQ_BUDGET_READ;
  if (others >= limit)
    return is_proven (budget, holder, limit) ? MQ_BUDGET_SPENT
                                             : MQ_BUDGET_DOUBT;
  extra = most * MQ_BUDGET_GRANT_TURNS - unused;
  if (others + unused + extra > limit)
    extra = most - unused;
  make_next (budget, holder, limit, extra, next);
  return MQ_BUDGET_WRITE;
}

void
mq_budget_written (struct mq_budget *budget, uint64_t holder,
                   const struct mq_budget_record *record, uint64_t version)
{
  uint64_t before = grant_of (&budget->record, holder);
  uint64_t used = before - budget->held;
  uint64_t settled = record->spent - budget->record.spent;
  uint64_t still = used - settled;

  /* Turns may have settled tokens while the record was on its way.  */
  budget->held = grant_of (record, holder) - still;
  budget->record = *record;
  budget->version = version;
  budget->known = true;
}

void
mq_budget_read (struct mq_budget *budget, uint64_t holder,
                const struct mq_budget_record *record, uint64_t version)
{
  uint64_t ours = grant_of (&budget->record, holder);
  uint64_t theirs = version == 0 ? 0 : grant_of (record, holder);

  budget->known = true;
  budget->version = version;
  if (version == 0)
    memset (&budget->record, 0, sizeof budget->record);
  else
    budget->record = *record;
  /* A grant that we asked for and gave up on may have come about since; its
     tokens were never handed out.  One that is gone was taken away.  */
  if (theirs >= ours)
    budget->held += theirs - ours;
  else if (budget->held > theirs)
    budget->held = theirs;
  if (budget->reserved > budget->held)
    budget->reserved = budget->held;
}

void
mq_budget_settle (struct mq_budget *budget, uint64_t most, uint64_t used)
{
  uint64_t reserved = most < budget->reserved ? most : budget->reserved;

  budget->reserved -= reserved;
  budget->held -= used < budget->held ? used : budget->held;
  if (budget->reserved > budget->held)
    budget->reserved = budget->held;
}

struct mq_bytes
mq_budget_pack (TALLOC_CTX *ctx, const struct mq_budget_record *record)
{
  Mqturn__BudgetRow row = MQTURN__BUDGET_ROW__INIT;
  Mqturn__Grant grants[MQ_BUDGET_HOLDERS_MAX];
  Mqturn__Grant *list[MQ_BUDGET_HOLDERS_MAX];
  struct mq_bytes bytes;

  row.limit = record->limit;
  row.spent = record->spent;
  row.until_s = record->until_s;
  row.n_grants = record->grant_count;
  row.grants = list;
  for (uint32_t i = 0; i < record->grant_count; i++)
    {
      mqturn__grant__init (&grants[i]);
      grants[i].holder = record->grants[i].holder;
      grants[i].tokens = record->grants[i].tokens;
      list[i] = &grants[i];
    }
  bytes.len = mqturn__budget_row__get_packed_size (&row);
  bytes.data = talloc_size (ctx, bytes.len + 1);
  if (bytes.data != NULL)
    mqturn__budget_row__pack (&row, bytes.data);
  return bytes;
}

bool
mq_budget_unpack (struct mq_bytes bytes, struct mq_budget_record *record)
{
  Mqturn__BudgetRow *row
      = mqturn__budget_row__unpack (NULL, bytes.len, bytes.data);
  bool fits = row != NULL && row->n_grants <= MQ_BUDGET_HOLDERS_MAX;

  *record = (struct mq_budget_record){ 0 };
  if (fits)
    {
      record->limit = row->limit;
      record->spent = row->spent;
      record->until_s = row->until_s;
      record->grant_count = (uint32_t)row->n_grants;
      for (uint32_t i = 0; i < record->grant_count; i++)
        record->grants[i] = (struct mq_budget_grant){ row->grants[i]->holder,
                                                      row->grants[i]->tokens };
    }
  if (row != NULL)
    mqturn__budget_row__free_unpacked (row, NULL);
  return fits;
}
