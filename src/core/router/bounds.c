/* bounds.c - what callers may hold of a host's descriptors.

   Needs: bounds.h.  */

#include "bounds.h"

/* Descriptors kept for files, at most, and as a part of all.  */
#define FILES_MAX 200U
#define FILES_PART 4U
/* Part of the others kept for connections to workers, the table and other
   hosts.  */
#define HOST_PART 4U

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
