/* streams.h - software versions of resumable streams: those that this host
   began or continued, and the rows that tell other hosts.

   A caller resumes a stream by the id of the attempt that brought its first
   event.  The version that wrote this event is, in this order,

   - what the host remembers;
   - what the stream's row in the table says;
   - what the record of the stream's program says (budget.h), if the stream has
     no row and the version is settled.

   A stream without a row runs at the version of its program's record, or, if
   it began while the table was away at a host that could not read that record,
   at the only version that the service's row named.  A version is settled once
   no stream of the second kind can be alive that began at a host which had not
   heard of it.

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
/* Time since this host last heard of new workers after which it begins no
   streams on the strength of a service's row alone.  */
#define MQ_STREAM_BLIND_MAX_MS 30000U
/* Time after which a version that was added to a service's row is settled: a
   host that has not heard of it begins streams for MQ_STREAM_BLIND_MAX_MS,
   each of which may live for a minute (MQ_FLEET_VERSION_MEMORY_MS).  The rest
   covers late writes and the time in which a host notices that it hears
   nothing.  */
#define MQ_VERSION_SETTLE_S 105U
/* @settled_s of a version that was the first in its row: no stream can have
   begun before.  */
#define MQ_VERSION_SETTLED_FIRST_S 1U

/**
 * struct mq_service_row - row of one service: versions at which its resumable
 * streams may be running
 * @versions: distinct; 0 stands for unknown ones
 * @settled_s: when each is settled, by the table's clock; 0 if unknown
 */
struct mq_service_row
{
  size_t count;
  uint64_t versions[MQ_SERVICE_VERSIONS_MAX];
  uint64_t settled_s[MQ_SERVICE_VERSIONS_MAX];
};

bool mq_service_row_has (const struct mq_service_row *row, uint64_t version);
/* Returns the only version in ROW, 0 if there are several.  */
uint64_t mq_service_row_sole (const struct mq_service_row *row);
/* Adds VERSION, settled from SETTLED_S on.  A version that is there keeps its
   time unless that is unknown.  Returns false if ROW is full.  */
bool mq_service_row_add (struct mq_service_row *row, uint64_t version,
                         uint64_t settled_s);
/* Drops all versions but VERSION.  */
void mq_service_row_keep (struct mq_service_row *row, uint64_t version);
/* When VERSION is settled, 0 if ROW does not tell.  */
uint64_t mq_service_row_settled_s (const struct mq_service_row *row,
                                   uint64_t version);
/* Whether a version that is settled at SETTLED_S, 0 if unknown, is so at NOW_S
   by the table's clock, 0 if unknown.  */
bool mq_version_is_settled (uint64_t settled_s, uint64_t now_s);
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
   program's durable record, 0 if it names none or is not settled; BUDGETED:
   the program has a record.

   Failure: the host of a stream is lost before the row is durable, and another
   host takes the version in the program's record for that of the stream.
   Without such a record, a stream without a row is just not resumed.  */
enum mq_stream_record
mq_stream_record (uint64_t version, uint64_t program_version, bool budgeted);

/**
 * struct mq_stream_start - what a host knows before it begins a stream
 * @budgeted: its program has a record
 * @row_down: the stream's own row can't be written
 * @service_row_down: the service's row can't be read or written
 * @program_version: version in the program's record, 0 if unknown
 * @program_recorded: the service's row names @program_version
 * @sole_version: the only version that the service's row named when this host
 *                read it, no other having been listed since; 0 if none
 * @all_recorded: the row names all versions that are listed
 * @recorded_version: version of most workers that the row names, 0 if none
 * @blind_ms: time since this host last heard of new workers
 */
struct mq_stream_start
{
  bool budgeted;
  bool row_down;
  bool service_row_down;
  uint64_t program_version;
  bool program_recorded;
  uint64_t sole_version;
  bool all_recorded;
  uint64_t recorded_version;
  uint64_t blind_ms;
};

/* Returns false if the stream must not begin now.  Otherwise *VERSION is the
   only version at which it may begin, 0 for any.

   Failure: the table is away, a stream begins at a version that no row tells,
   and another host takes up the stream at the version in an older record or in
   the service's row.  */
bool mq_stream_may_begin (const struct mq_stream_start *start,
                          uint64_t *version);

#endif
