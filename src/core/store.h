/* store.h - requests to the platform's table and object store.

   The core passes requests and results by value; src/daemon/platform.c sends
   them over HTTP.  A LOST result means that the request may or may not have
   taken effect, or may still take effect later.
   Needs: types.h.  */

#ifndef MQ_STORE_H
#define MQ_STORE_H

#include "types.h"

enum mq_store_kind
{
  MQ_STORE_TXN,   /* conditional transaction on rows */
  MQ_STORE_SCAN,  /* rows with a key prefix, in key order, after a key */
  MQ_STORE_PUT,   /* write one object */
  MQ_STORE_GET,   /* read one object */
  MQ_STORE_DELETE /* remove one object */
};

enum mq_store_status
{
  MQ_STORE_OK,
  MQ_STORE_CONFLICT, /* TXN: a condition failed, nothing applied */
  MQ_STORE_MISSING,  /* GET: no such object */
  MQ_STORE_DOWN,     /* not applied */
  MQ_STORE_LOST,     /* may have been applied, or may be later */
  MQ_STORE_REJECTED  /* invalid: not applied, and would not be at any try */
};

#define MQ_VERSION_ABSENT 0ULL    /* the row must not exist */
#define MQ_VERSION_ANY UINT64_MAX /* no condition */

struct mq_bytes
{
  uint8_t *data;
  size_t len;
};

/**
 * struct mq_store_op - one row of a transaction
 * @if_version: required row version, MQ_VERSION_ABSENT or MQ_VERSION_ANY
 * @remove: delete the row instead of writing @value
 */
struct mq_store_op
{
  char *key;
  uint64_t if_version;
  bool remove;
  struct mq_bytes value;
};

struct mq_store_request
{
  uint64_t id; /* chosen by the core, returned in the result */
  enum mq_store_kind kind;
  struct mq_store_op *ops; /* TXN */
  size_t op_count;
  char *key;   /* SCAN: prefix; PUT, GET, DROP: object key */
  char *after; /* SCAN: rows with keys greater than this, may be NULL */
  uint32_t limit;
  struct mq_bytes value; /* PUT */
};

struct mq_row
{
  char *key;
  uint64_t version;
  struct mq_bytes value;
};

struct mq_store_result
{
  uint64_t id;
  enum mq_store_status status;
  struct mq_row *rows; /* SCAN: rows; TXN: new row versions, or with
                          CONFLICT the failed ones; values empty */
  size_t row_count;
  bool more;             /* SCAN: truncated by a limit */
  struct mq_bytes value; /* GET */
};

#endif
