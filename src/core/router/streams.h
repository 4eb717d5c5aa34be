/* streams.h - software versions of resumable streams: those that this host
   began or continued, and the rows that tell other hosts.

   A caller resumes a stream by the id of the attempt that brought its first
   event.  The version that wrote this event is, in this order,

   - what the host remembers;
   - what the stream's row in the table says;
   - what the record of the stream's program says (budget.h), if the stream has
     no row.

   Pure: callers pass the time.
   Needs: store.h.  */

#ifndef MQ_STREAMS_H
#define MQ_STREAMS_H

#include "../store.h"

struct mq_streams;

/* Streams that a host remembers; a further one replaces the oldest.  */
#define MQ_STREAMS_MAX 4096U

struct mq_streams *mq_streams_create (TALLOC_CTX *ctx);
/* Remembers that the stream ID runs at VERSION (mq_fleet_worker_version).  */
void mq_streams_put (struct mq_streams *streams, const char *id,
                     uint64_t version);
/* Returns false if the stream is not remembered.  */
bool mq_streams_find (const struct mq_streams *streams, const char *id,
                      uint64_t *version);

/**
 * struct mq_stream_row - row of one stream
 * @version: version that wrote its first event, 0 if unknown
 * @until_s: expiry of the row by the table's clock, 0 if unknown
 */
struct mq_stream_row
{
  uint64_t version;
  uint64_t until_s;
};

/* Serializes ROW, allocated under CTX; data is NULL if out of memory.  */
struct mq_bytes mq_stream_row_pack (TALLOC_CTX *ctx,
                                    const struct mq_stream_row *row);
/* Returns false if BYTES is not a valid row.  */
bool mq_stream_row_unpack (struct mq_bytes bytes, struct mq_stream_row *row);

/* Versions that a service's row can name.  */
#define MQ_SERVICE_VERSIONS_MAX 64U

/**
 * struct mq_service_row - row of one service: versions at which its resumable
 * streams may be running
 * @versions: distinct; 0 stands for unknown ones
 */
struct mq_service_row
{
  size_t count;
  uint64_t versions[MQ_SERVICE_VERSIONS_MAX];
};

bool mq_service_row_has (const struct mq_service_row *row, uint64_t version);
/* Returns the only version in ROW, 0 if there are several.  */
uint64_t mq_service_row_sole (const struct mq_service_row *row);
/* Returns false if ROW is full.  */
bool mq_service_row_add (struct mq_service_row *row, uint64_t version);
/* Serializes ROW, allocated under CTX; data is NULL if out of memory.  */
struct mq_bytes mq_service_row_pack (TALLOC_CTX *ctx,
                                     struct mq_service_row *row);
/* Returns false if BYTES is not a valid row.  */
bool mq_service_row_unpack (struct mq_bytes bytes, struct mq_service_row *row);

/**
 * enum mq_stream_record - what must be durable before the first event of a
 * stream is forwarded
 */
enum mq_stream_record
{
  MQ_STREAM_NO_ROW,    /* the program's record tells its version */
  MQ_STREAM_ROW_FIRST, /* its row is written before the event */
  MQ_STREAM_ROW_BESIDE /* its row is written beside the stream */
};

/* VERSION: version of the stream's worker; PROGRAM_VERSION: that of its
   program's durable record, 0 if it names none; BUDGETED: the program has a
   record.

   Failure: the host of a stream is lost before the row is durable, and another
   host takes the version in the program's record for that of the stream.
   Without such a record, a stream without a row is just not resumed.  */
enum mq_stream_record
mq_stream_record (uint64_t version, uint64_t program_version, bool budgeted);

#endif
