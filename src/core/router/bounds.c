/* bounds.c - what callers may hold of a host's descriptors and memory.

   Needs: bounds.h.  */

#include "bounds.h"

/* Descriptors kept for files, at most, and as a part of all.  */
#define FILES_MAX 200U
#define FILES_PART 4U
/* Part of the others kept for connections to workers, the table and other
   hosts.  */
#define HOST_PART 4U
/* Part of the memory that may hold requests and answers.  A byte of them may
   be in memory twice, in the buffer that it leaves and in the one it enters.
 */
#define BYTES_PART 4U
/* Size of a request from which it is large.  */
#define LARGE_BYTES ((uint64_t)64 << 10)

size_t
mq_bounds_callers (uint64_t files_max)
{
  uint64_t files = files_max / FILES_PART;
  uint64_t sockets;

  if (files > FILES_MAX)
    files = FILES_MAX;
  sockets = files_max - files;
  return (size_t)(sockets - sockets / HOST_PART);
}

uint64_t
mq_bounds_bytes (uint32_t memory_mb)
{
  return ((uint64_t)memory_mb << 20) / BYTES_PART;
}

static bool
fits (uint64_t limit, uint64_t others, uint64_t bytes)
{
  return others == 0 || (others <= limit && bytes <= limit - others);
}

bool
mq_bounds_admits_body (uint64_t limit, uint64_t others, uint64_t bytes)
{
  return fits (bytes < LARGE_BYTES ? limit : limit / 2, others, bytes);
}

bool
mq_bounds_admits_answer (uint64_t limit, uint64_t others, uint64_t bytes)
{
  return fits (limit, others, bytes);
}
