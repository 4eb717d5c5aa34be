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

bool
mq_service_row_has (const struct mq_service_row *row, uint64_t version)
{
  for (size_t i = 0; i < row->count; i++)
    if (row->versions[i] == version)
      return true;
  return false;
}

uint64_t
mq_service_row_sole (const struct mq_service_row *row)
{
  return row->count == 1 ? row->versions[0] : 0;
}

bool
mq_service_row_add (struct mq_service_row *row, uint64_t version)
{
  if (mq_service_row_has (row, version))
    return true;
  if (row->count == MQ_SERVICE_VERSIONS_MAX)
    return false;
  row->versions[row->count++] = version;
  return true;
}

struct mq_bytes
mq_service_row_pack (TALLOC_CTX *ctx, struct mq_service_row *row)
{
  Mqturn__ServiceRow packed = MQTURN__SERVICE_ROW__INIT;
  struct mq_bytes bytes;

  packed.n_versions = row->count;
  packed.versions = row->versions;
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
    valid = !mq_service_row_has (row, packed->versions[i])
            && mq_service_row_add (row, packed->versions[i]);
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
