/* fuzz_record.c - fuzzer for budget and turn records (budget.c, chain.c).

   Input: 'B' and a budget record, or 'T' and a turn record, as stored in the
   platform's table.
   Needs: fuzz.h, budget.h, chain.h.  */

#include "core/router/budget.h"
#include "core/router/chain.h"
#include "fuzz.h"
#include <string.h>

FUZZ_MAIN (record)

static bool
read_budget (TALLOC_CTX *ctx, struct mq_bytes bytes)
{
  struct mq_budget_record record;
  struct mq_budget_record again;
  struct mq_bytes packed;

  if (!mq_budget_unpack (bytes, &record))
    return false;
  FUZZ_CHECK (record.grant_count <= MQ_BUDGET_HOLDERS_MAX);
  packed = mq_budget_pack (ctx, &record);
  FUZZ_CHECK (mq_budget_unpack (packed, &again));
  FUZZ_CHECK (again.limit == record.limit && again.spent == record.spent);
  FUZZ_CHECK (again.grant_count == record.grant_count);
  FUZZ_CHECK (again.until_s == record.until_s);
  for (uint32_t i = 0; i < record.grant_count; i++)
    FUZZ_CHECK (again.grants[i].holder == record.grants[i].holder
                && again.grants[i].tokens == record.grants[i].tokens);
  return true;
}

/* Guards against a reservation from a record that is already spent.  */
static void
check_reserve (const struct mq_budget_record *record)
{
  struct mq_budget budget = { .known = false };
  struct mq_budget_record next;
  enum mq_budget_decision decision;

  mq_budget_record_read (&budget, 1, record, 5);
  decision = mq_budget_reserve (&budget, 1, 100, 10, &next);
  if (decision == MQ_BUDGET_RESERVED)
    FUZZ_CHECK (record->spent < 100);
}

static bool
read_turn (TALLOC_CTX *ctx, struct mq_bytes bytes)
{
  struct mq_chain *chain = mq_chain_unpack (ctx, "t1", bytes);
  struct mq_chain *again;

  (void)mq_chain_row_expiry_s (bytes);
  if (chain == NULL)
    return false;
  FUZZ_CHECK (memchr (chain->base, '\0', sizeof chain->base) != NULL);
  FUZZ_CHECK (chain->tail_at <= chain->text.len);
  again = mq_chain_unpack (ctx, "t1", mq_chain_pack (ctx, chain));
  FUZZ_CHECK (again != NULL && strcmp (again->base, chain->base) == 0);
  FUZZ_CHECK (again->until_s == chain->until_s);
  FUZZ_CHECK (again->text.len == chain->text.len - chain->tail_at);
  return true;
}

bool
fuzz_record (const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_bytes bytes
      = { talloc_memdup (ctx, data, len), len == 0 ? 0 : len - 1 };
  struct mq_budget_record record;
  bool accepted = false;

  if (len > 0)
    bytes.data++;
  if (len > 0 && data[0] == 'B')
    accepted = read_budget (ctx, bytes);
  else if (len > 0 && data[0] == 'T')
    accepted = read_turn (ctx, bytes);
  if (accepted && data[0] == 'B' && mq_budget_unpack (bytes, &record))
    check_reserve (&record);
  talloc_free (ctx);
  return accepted;
}
