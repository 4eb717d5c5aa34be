/* streams.c - software versions of resumable streams.

   Needs: streams.h, turn.pb-c.h, id.h, idmap.h.  */

#include "streams.h"
#include "../../../proto/turn.pb-c.h"
#include "../id.h"
#include "../idmap.h"

struct stream
{
  struct mq_id id;
  uint64_t version;
};

/**
 * struct mq_streams - ring of the streams remembered
 * @by_id: struct stream by id
 * @next: the oldest entry once all are in use
 */
struct mq_streams
{
  struct stream ring[MQ_STREAMS_MAX];
  struct mq_idmap *by_id;
  size_t next;
};

struct mq_streams *
mq_streams_create (TALLOC_CTX *ctx)
{
  struct mq_streams *streams = talloc_zero (ctx, struct mq_streams);

  if (streams == NULL)
    return NULL;
  streams->by_id = mq_idmap_create (streams);
  if (streams->by_id == NULL)
    TALLOC_FREE (streams);
  return streams;
}

void
mq_streams_put (struct mq_streams *streams, const char *id, uint64_t version)
{
  struct mq_id key = mq_id_from_text (id);
  struct stream *stream = mq_idmap_find (streams->by_id, key, 0);

  if (stream == NULL)
    {
      stream = &streams->ring[streams->next++ % MQ_STREAMS_MAX];
      if (streams->next > MQ_STREAMS_MAX)
        mq_idmap_remove (streams->by_id, stream->id, 0);
      stream->id = key;
      mq_idmap_put (streams->by_id, key, 0, stream);
    }
  stream->version = version;
}

bool
mq_streams_find (const struct mq_streams *streams, const char *id,
                 uint64_t *version)
{
  const struct stream *stream
      = mq_idmap_find (streams->by_id, mq_id_from_text (id), 0);

  if (stream == NULL)
    return false;
  *version = stream->version;
  return true;
}

struct mq_bytes
mq_stream_row_pack (TALLOC_CTX *ctx, const struct mq_stream_row *row)
{
  Mqturn__StreamRow packed = MQTURN__STREAM_ROW__INIT;
  struct mq_bytes bytes;

  packed.version = row->version;
  packed.until_s = row->until_s;
  bytes.len = mqturn__stream_row__get_packed_size (&packed);
  bytes.data = talloc_size (ctx, bytes.len + 1);
  if (bytes.data != NULL)
    mqturn__stream_row__pack (&packed, bytes.data);
  return bytes;
}

bool
mq_stream_row_unpack (struct mq_bytes bytes, struct mq_stream_row *row)
{
  Mqturn__StreamRow *packed
      = mqturn__stream_row__unpack (NULL, bytes.len, bytes.data);

  *row = (struct mq_stream_row){ 0, 0 };
  if (packed == NULL)
    return false;
  *row = (struct mq_stream_row){ packed->version, packed->until_s };
  mqturn__stream_row__free_unpacked (packed, NULL);
  return true;
}

static size_t
find_version (const struct mq_service_row *row, uint64_t version)
{
  size_t at = 0;

  while (at < row->count && row->versions[at] != version)
    at++;
  return at;
}

bool
mq_service_row_has (const struct mq_service_row *row, uint64_t version)
{
  return find_version (row, version) < row->count;
}

uint64_t
mq_service_row_sole (const struct mq_service_row *row)
{
  return row->count == 1 ? row->versions[0] : 0;
}

bool
mq_service_row_add (struct mq_service_row *row, uint64_t version,
                    uint64_t settled_s)
{
  size_t at = find_version (row, version);

  if (at == MQ_SERVICE_VERSIONS_MAX)
    return false;
  if (at == row->count)
    {
      row->versions[row->count++] = version;
      row->settled_s[at] = 0;
    }
  if (row->settled_s[at] == 0)
    row->settled_s[at] = settled_s;
  return true;
}

void
mq_service_row_keep (struct mq_service_row *row, uint64_t version)
{
  size_t at = find_version (row, version);

  if (at == row->count)
    {
      row->count = 0;
      return;
    }
  row->versions[0] = version;
  row->settled_s[0] = row->settled_s[at];
  row->count = 1;
}

uint64_t
mq_service_row_settled_s (const struct mq_service_row *row, uint64_t version)
{
  size_t at = find_version (row, version);

  return at == row->count ? 0 : row->settled_s[at];
}

bool
mq_version_is_settled (uint64_t settled_s, uint64_t now_s)
{
  return settled_s != 0 && now_s >= settled_s;
}

struct mq_bytes
mq_service_row_pack (TALLOC_CTX *ctx, struct mq_service_row *row)
{
  Mqturn__ServiceRow packed = MQTURN__SERVICE_ROW__INIT;
  struct mq_bytes bytes;

  packed.n_versions = row->count;
  packed.versions = row->versions;
  packed.n_settled_s = row->count;
  packed.settled_s = row->settled_s;
  bytes.len = mqturn__service_row__get_packed_size (&packed);
  bytes.data = talloc_size (ctx, bytes.len + 1);
  if (bytes.data != NULL)
    mqturn__service_row__pack (&packed, bytes.data);
  return bytes;
}

bool
mq_service_row_unpack (struct mq_bytes bytes, struct mq_service_row *row)
{
  Mqturn__ServiceRow *packed
      = mqturn__service_row__unpack (NULL, bytes.len, bytes.data);
  bool valid = packed != NULL && packed->n_versions > 0;

  *row = (struct mq_service_row){ .count = 0 };
  for (size_t i = 0; valid && i < packed->n_versions; i++)
    {
      bool told = packed->n_settled_s == packed->n_versions;

      valid = !mq_service_row_has (row, packed->versions[i])
              && mq_service_row_add (row, packed->versions[i],
                                     told ? packed->settled_s[i] : 0);
    }
  if (packed != NULL)
    mqturn__service_row__free_unpacked (packed, NULL);
  if (!valid)
    row->count = 0;
  return valid;
}

enum mq_stream_record
mq_stream_record (uint64_t version, uint64_t program_version, bool budgeted)
{
  if (version != 0 && version == program_version)
    return MQ_STREAM_NO_ROW;
  return budgeted ? MQ_STREAM_ROW_FIRST : MQ_STREAM_ROW_BESIDE;
}

/* The stream gets no row: its version has to follow from what others can
   read.  */
static uint64_t
version_without_row (const struct mq_stream_start *start)
{
  if (start->program_version != 0)
    return start->service_row_down && !start->program_recorded
               ? 0
               : start->program_version;
  return start->blind_ms <= MQ_STREAM_BLIND_MAX_MS ? start->sole_version : 0;
}

bool
mq_stream_may_begin (const struct mq_stream_start *start, uint64_t *version)
{
  *version = 0;
  if (start->budgeted && start->row_down)
    *version = version_without_row (start);
  else if (!start->service_row_down || start->all_recorded)
    return true;
  else
    *version = start->recorded_version;
  return *version != 0;
}
