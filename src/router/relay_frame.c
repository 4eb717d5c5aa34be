/* relay_frame.c - what routing hosts say to each other, packed for the wire.

   Needs: relay_frame.h, frame.h, memory.h, proto/relay.pb-c.h.  */

#include "relay_frame.h"
#include "../../proto/relay.pb-c.h"
#include "core/memory.h"
#include "net/frame.h"

/* protobuf-c wants texts that may be changed; it does not change them.  */
static char *
text_field (const char *text)
{
  return (char *)(uintptr_t)(text == NULL ? "" : text);
}

static void
fill_entry (Mqrelay__Entry *to, const struct mq_rows_entry *from)
{
  mqrelay__entry__init (to);
  to->table = text_field (from->table);
  to->part = text_field (from->part);
  to->key = text_field (from->key);
  to->version = from->version;
  to->value.data = from->value.data;
  to->value.len = from->value.len;
  to->remove = from->remove;
}

/* List of COUNT pointers to COUNT messages of SIZE bytes, to be filled.  */
static void *
make_list (TALLOC_CTX *ctx, size_t count, size_t size)
{
  char *all = mq_check_alloc (talloc_size (ctx, (count + 1) * size));
  void **list = mq_check_alloc (talloc_array (ctx, void *, count + 1));

  for (size_t i = 0; i < count; i++)
    list[i] = all + i * size;
  return list;
}

static Mqrelay__Entry **
make_entries (TALLOC_CTX *ctx, const struct mq_rows_entry *entries,
              size_t count)
{
  Mqrelay__Entry **list = make_list (ctx, count, sizeof **list);

  for (size_t i = 0; i < count; i++)
    fill_entry (list[i], &entries[i]);
  return list;
}

static void
fill_worker (Mqrelay__Worker *to, const struct mq_fleet_member *from)
{
  mqrelay__worker__init (to);
  to->id = text_field (from->id);
  to->service = text_field (from->service);
  to->address = text_field (from->address);
  to->data_centre = text_field (from->data_centre);
  to->slots = from->slots;
  to->leaving = from->leaving;
  to->born_ms = from->born_ms;
}

static Mqrelay__Worker **
make_workers (TALLOC_CTX *ctx, const struct mq_fleet_member *workers,
              size_t count)
{
  Mqrelay__Worker **list = make_list (ctx, count, sizeof **list);

  for (size_t i = 0; i < count; i++)
    fill_worker (list[i], &workers[i]);
  return list;
}

static struct mq_bytes
pack (TALLOC_CTX *ctx, const Mqrelay__Frame *frame)
{
  size_t len = mqrelay__frame__get_packed_size (frame);
  uint8_t *bytes
      = mq_check_alloc (talloc_size (ctx, len + MQ_FRAME_HEADER_BYTES));

  for (size_t i = 0; i < MQ_FRAME_HEADER_BYTES; i++)
    bytes[i] = (uint8_t)(len >> (8 * (MQ_FRAME_HEADER_BYTES - 1 - i)));
  mqrelay__frame__pack (frame, bytes + MQ_FRAME_HEADER_BYTES);
  return (struct mq_bytes){ bytes, len + MQ_FRAME_HEADER_BYTES };
}

static struct mq_bytes
pack_ask (TALLOC_CTX *ctx, const struct mq_relay_ask *ask)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__Ask to = MQRELAY__ASK__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_ASK;
  frame.ask = &to;
  to.id = ask->id;
  to.commit = ask->commit;
  to.entries = make_entries (ctx, ask->entries, ask->count);
  to.n_entries = ask->count;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_told (TALLOC_CTX *ctx, const struct mq_relay_told *told)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__Told to = MQRELAY__TOLD__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_TOLD;
  frame.told = &to;
  to.id = told->id;
  to.status = told->result.status;
  to.version = told->result.version;
  to.rows = make_entries (ctx, told->result.rows, told->result.row_count);
  to.n_rows = told->result.row_count;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_sync (TALLOC_CTX *ctx, const struct mq_relay_sync *sync)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__Sync to = MQRELAY__SYNC__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_SYNC;
  frame.sync = &to;
  to.config_version = sync->config_version;
  to.workers_digest = sync->workers_digest;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_state (TALLOC_CTX *ctx, const struct mq_relay_state *state)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__State to = MQRELAY__STATE__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_STATE;
  frame.state = &to;
  to.config.data = state->config.data;
  to.config.len = state->config.len;
  to.same_workers = state->same_workers;
  to.workers = make_workers (ctx, state->workers, state->worker_count);
  to.n_workers = state->worker_count;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_loan_ask (TALLOC_CTX *ctx, const struct mq_relay_loan_ask *ask)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__LoanAsk to = MQRELAY__LOAN_ASK__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_LOAN_ASK;
  frame.loan_ask = &to;
  to.id = ask->id;
  to.run = text_field (ask->program);
  to.limit = ask->limit;
  to.most = ask->most;
  to.turn = text_field (ask->turn);
  to.issue = ask->issue;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_loan_told (TALLOC_CTX *ctx, const struct mq_relay_loan_told *told)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__LoanTold to = MQRELAY__LOAN_TOLD__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_LOAN_TOLD;
  frame.loan_told = &to;
  to.id = told->id;
  to.run = text_field (told->program);
  to.tokens = told->tokens;
  to.over = told->over;
  to.home = told->home;
  to.turn = text_field (told->turn);
  to.history.data = told->history.data;
  to.history.len = told->history.len;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_loan_back (TALLOC_CTX *ctx, const struct mq_relay_loan_back *back)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__LoanBack to = MQRELAY__LOAN_BACK__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_LOAN_BACK;
  frame.loan_back = &to;
  to.run = text_field (back->program);
  to.tokens = back->tokens;
  return pack (ctx, &frame);
}

static Mqrelay__QuotaWant **
make_wants (TALLOC_CTX *ctx, const struct mq_quota_want *wants, size_t count)
{
  Mqrelay__QuotaWant **list = make_list (ctx, count, sizeof **list);

  for (size_t i = 0; i < count; i++)
    {
      mqrelay__quota_want__init (list[i]);
      list[i]->organisation = text_field (wants[i].organisation);
      list[i]->need = wants[i].need;
      list[i]->begins = wants[i].begins;
      list[i]->ahead = wants[i].ahead;
      list[i]->unused = wants[i].unused;
      list[i]->surrendered = wants[i].surrendered;
      list[i]->holds = wants[i].holds;
    }
  return list;
}

static struct mq_bytes
pack_quota_ask (TALLOC_CTX *ctx, const struct mq_relay_quota_ask *ask)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__QuotaAsk to = MQRELAY__QUOTA_ASK__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_QUOTA_ASK;
  frame.quota_ask = &to;
  to.id = ask->id;
  to.host = ask->host;
  to.heard_ms = ask->heard_ms;
  to.server = ask->server;
  to.wants = make_wants (ctx, ask->wants, ask->want_count);
  to.n_wants = ask->want_count;
  to.listed = ask->listed;
  to.recalled = ask->recalled;
  return pack (ctx, &frame);
}

static Mqrelay__QuotaGift **
make_gifts (TALLOC_CTX *ctx, const struct mq_quota_gift *gifts, size_t count)
{
  Mqrelay__QuotaGift **list = make_list (ctx, count, sizeof **list);

  for (size_t i = 0; i < count; i++)
    {
      mqrelay__quota_gift__init (list[i]);
      list[i]->organisation = text_field (gifts[i].organisation);
      list[i]->unknown = gifts[i].unknown;
      list[i]->need = gifts[i].need;
      list[i]->begins = gifts[i].begins;
      list[i]->ahead = gifts[i].ahead;
      list[i]->retry_ms = gifts[i].retry_ms;
      list[i]->empty = gifts[i].empty;
      list[i]->standing = gifts[i].standing;
      list[i]->standing_ms = gifts[i].standing_ms;
    }
  return list;
}

static struct mq_bytes
pack_quota_told (TALLOC_CTX *ctx, const struct mq_relay_quota_told *told)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__QuotaTold to = MQRELAY__QUOTA_TOLD__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_QUOTA_TOLD;
  frame.quota_told = &to;
  to.id = told->id;
  to.server = told->server;
  to.told_ms = told->told_ms;
  to.gifts = make_gifts (ctx, told->gifts, told->gift_count);
  to.n_gifts = told->gift_count;
  return pack (ctx, &frame);
}

static struct mq_bytes
pack_quota_recall (TALLOC_CTX *ctx, const struct mq_relay_quota_recall *recall)
{
  Mqrelay__Frame frame = MQRELAY__FRAME__INIT;
  Mqrelay__QuotaRecall to = MQRELAY__QUOTA_RECALL__INIT;

  frame.body_case = MQRELAY__FRAME__BODY_QUOTA_RECALL;
  frame.quota_recall = &to;
  to.server = recall->server;
  to.address = text_field (recall->address);
  return pack (ctx, &frame);
}

/* The bytes and all that they are packed from, below CTX.  */
static struct mq_bytes
pack_body (TALLOC_CTX *ctx, const struct mq_relay_frame *frame)
{
  switch (frame->kind)
    {
    case MQ_RELAY_ASK:
      return pack_ask (ctx, &frame->u.ask);
    case MQ_RELAY_TOLD:
      return pack_told (ctx, &frame->u.told);
    case MQ_RELAY_SYNC:
      return pack_sync (ctx, &frame->u.sync);
    case MQ_RELAY_STATE:
      return pack_state (ctx, &frame->u.state);
    case MQ_RELAY_LOAN_ASK:
      return pack_loan_ask (ctx, &frame->u.loan_ask);
    case MQ_RELAY_LOAN_TOLD:
      return pack_loan_told (ctx, &frame->u.loan_told);
    case MQ_RELAY_LOAN_BACK:
      return pack_loan_back (ctx, &frame->u.loan_back);
    case MQ_RELAY_QUOTA_ASK:
      return pack_quota_ask (ctx, &frame->u.quota_ask);
    case MQ_RELAY_QUOTA_TOLD:
      return pack_quota_told (ctx, &frame->u.quota_told);
    case MQ_RELAY_QUOTA_RECALL:
      return pack_quota_recall (ctx, &frame->u.quota_recall);
    case MQ_RELAY_OTHER:
      break;
    }
  return (struct mq_bytes){ NULL, 0 };
}

/* Failure: a host that answers others for weeks grows by the lists of rows and
   workers that its answers were packed from; whoever packs frees the bytes
   alone.  So the lists lie below a context that ends here.  */
struct mq_bytes
mq_relay_frame_pack (TALLOC_CTX *ctx, const struct mq_relay_frame *frame)
{
  TALLOC_CTX *scratch = mq_check_alloc (talloc_new (NULL));
  struct mq_bytes bytes = pack_body (scratch, frame);

  talloc_steal (ctx, bytes.data);
  talloc_free (scratch);
  return bytes;
}

static struct mq_rows_entry *
read_entries (TALLOC_CTX *ctx, Mqrelay__Entry *const *list, size_t count)
{
  struct mq_rows_entry *entries = mq_check_alloc (
      talloc_zero_array (ctx, struct mq_rows_entry, count + 1));

  for (size_t i = 0; i < count; i++)
    entries[i] = (struct mq_rows_entry){
      .table = list[i]->table,
      .part = list[i]->part,
      .key = list[i]->key,
      .version = list[i]->version,
      .value = { list[i]->value.data, list[i]->value.len },
      .remove = list[i]->remove,
    };
  return entries;
}

static struct mq_fleet_member *
read_workers (TALLOC_CTX *ctx, Mqrelay__Worker *const *list, size_t count)
{
  struct mq_fleet_member *workers = mq_check_alloc (
      talloc_zero_array (ctx, struct mq_fleet_member, count + 1));

  for (size_t i = 0; i < count; i++)
    workers[i] = (struct mq_fleet_member){
      .id = list[i]->id,
      .service = list[i]->service,
      .address = list[i]->address,
      .data_centre = list[i]->data_centre,
      .slots = list[i]->slots,
      .leaving = list[i]->leaving,
      .born_ms = list[i]->born_ms,
    };
  return workers;
}

/* An outcome that this version does not know promises nothing.  */
static void
read_told (struct mq_relay_frame *to, const Mqrelay__Told *from)
{
  to->kind = MQ_RELAY_TOLD;
  to->u.told.id = from->id;
  to->u.told.result = (struct mq_rows_result){
    .status = from->status > MQ_STORE_LOST
                  ? MQ_STORE_LOST
                  : (enum mq_store_status)from->status,
    .version = from->version,
    .rows = read_entries (to, from->rows, from->n_rows),
    .row_count = from->n_rows,
  };
}

static bool
read_ask (struct mq_relay_frame *to, const Mqrelay__Ask *from)
{
  to->kind = MQ_RELAY_ASK;
  to->u.ask = (struct mq_relay_ask){
    .id = from->id,
    .commit = from->commit,
    .entries = read_entries (to, from->entries, from->n_entries),
    .count = from->n_entries,
  };
  return from->n_entries > 0;
}

static void
read_loan_ask (struct mq_relay_frame *to, const Mqrelay__LoanAsk *from)
{
  to->kind = MQ_RELAY_LOAN_ASK;
  to->u.loan_ask = (struct mq_relay_loan_ask){
    .id = from->id,
    .program = from->run,
    .limit = from->limit,
    .most = from->most,
    .turn = from->turn,
    .issue = from->issue,
  };
}

static void
read_loan_told (struct mq_relay_frame *to, const Mqrelay__LoanTold *from)
{
  to->kind = MQ_RELAY_LOAN_TOLD;
  to->u.loan_told = (struct mq_relay_loan_told){
    .id = from->id,
    .program = from->run,
    .tokens = from->tokens,
    .over = from->over,
    .home = from->home,
    .turn = from->turn,
    .history = { from->history.data, from->history.len },
  };
}

static void
read_quota_ask (struct mq_relay_frame *to, const Mqrelay__QuotaAsk *from)
{
  struct mq_quota_want *wants = mq_check_alloc (
      talloc_zero_array (to, struct mq_quota_want, from->n_wants + 1));

  for (size_t i = 0; i < from->n_wants; i++)
    wants[i] = (struct mq_quota_want){
      .organisation = from->wants[i]->organisation,
      .need = from->wants[i]->need,
      .begins = from->wants[i]->begins,
      .ahead = from->wants[i]->ahead,
      .unused = from->wants[i]->unused,
      .surrendered = from->wants[i]->surrendered,
      .holds = from->wants[i]->holds,
    };
  to->kind = MQ_RELAY_QUOTA_ASK;
  to->u.quota_ask = (struct mq_relay_quota_ask){
    .id = from->id,
    .host = from->host,
    .heard_ms = from->heard_ms,
    .server = from->server,
    .wants = wants,
    .want_count = from->n_wants,
    .listed = from->listed,
    .recalled = from->recalled,
  };
}

static void
read_quota_told (struct mq_relay_frame *to, const Mqrelay__QuotaTold *from)
{
  struct mq_quota_gift *gifts = mq_check_alloc (
      talloc_zero_array (to, struct mq_quota_gift, from->n_gifts + 1));

  for (size_t i = 0; i < from->n_gifts; i++)
    gifts[i] = (struct mq_quota_gift){
      .organisation = from->gifts[i]->organisation,
      .unknown = from->gifts[i]->unknown,
      .need = from->gifts[i]->need,
      .begins = from->gifts[i]->begins,
      .ahead = from->gifts[i]->ahead,
      .retry_ms = from->gifts[i]->retry_ms,
      .empty = from->gifts[i]->empty,
      .standing = from->gifts[i]->standing,
      .standing_ms = from->gifts[i]->standing_ms,
    };
  to->kind = MQ_RELAY_QUOTA_TOLD;
  to->u.quota_told = (struct mq_relay_quota_told){
    .id = from->id,
    .server = from->server,
    .told_ms = from->told_ms,
    .gifts = gifts,
    .gift_count = from->n_gifts,
  };
}

static bool
read_body (struct mq_relay_frame *to, const Mqrelay__Frame *from)
{
  switch (from->body_case)
    {
    case MQRELAY__FRAME__BODY_ASK:
      return read_ask (to, from->ask);
    case MQRELAY__FRAME__BODY_TOLD:
      read_told (to, from->told);
      return true;
    case MQRELAY__FRAME__BODY_SYNC:
      to->kind = MQ_RELAY_SYNC;
      to->u.sync = (struct mq_relay_sync){ from->sync->config_version,
                                           from->sync->workers_digest };
      return true;
    case MQRELAY__FRAME__BODY_STATE:
      to->kind = MQ_RELAY_STATE;
      to->u.state = (struct mq_relay_state){
        .config = { from->state->config.data, from->state->config.len },
        .same_workers = from->state->same_workers,
        .workers
        = read_workers (to, from->state->workers, from->state->n_workers),
        .worker_count = from->state->n_workers,
      };
      return true;
    case MQRELAY__FRAME__BODY_LOAN_ASK:
      read_loan_ask (to, from->loan_ask);
      return true;
    case MQRELAY__FRAME__BODY_LOAN_TOLD:
      read_loan_told (to, from->loan_told);
      return true;
    case MQRELAY__FRAME__BODY_LOAN_BACK:
      to->kind = MQ_RELAY_LOAN_BACK;
      to->u.loan_back = (struct mq_relay_loan_back){ from->loan_back->run,
                                                     from->loan_back->tokens };
      return true;
    case MQRELAY__FRAME__BODY_QUOTA_ASK:
      read_quota_ask (to, from->quota_ask);
      return true;
    case MQRELAY__FRAME__BODY_QUOTA_TOLD:
      read_quota_told (to, from->quota_told);
      return true;
    case MQRELAY__FRAME__BODY_QUOTA_RECALL:
      to->kind = MQ_RELAY_QUOTA_RECALL;
      to->u.quota_recall
          = (struct mq_relay_quota_recall){ from->quota_recall->server,
                                            from->quota_recall->address };
      return true;
    default:
      to->kind = MQ_RELAY_OTHER;
      return true;
    }
}

/**
 * struct holder - the decoded message that a frame points into
 */
struct holder
{
  Mqrelay__Frame *frame;
};

static int
free_holder (struct holder *holder)
{
  mqrelay__frame__free_unpacked (holder->frame, NULL);
  return 0;
}

struct mq_relay_frame *
mq_relay_frame_unpack (TALLOC_CTX *ctx, const uint8_t *data, size_t len)
{
  struct mq_relay_frame *frame
      = mq_check_alloc (talloc_zero (ctx, struct mq_relay_frame));
  struct holder *holder = mq_check_alloc (talloc_zero (frame, struct holder));

  holder->frame = mqrelay__frame__unpack (NULL, len, data);
  if (holder->frame != NULL)
    talloc_set_destructor (holder, free_holder);
  if (holder->frame != NULL && read_body (frame, holder->frame))
    return frame;
  talloc_free (frame);
  return NULL;
}
