/* gate_table.h - intrusive hash maps, heaps and lists.

   Entries embed a link, a node or a position, so that inserting, finding and
   removing an entry allocates no memory per entry.

   Needs: types.h.  */

#ifndef MQ_GATE_TABLE_H
#define MQ_GATE_TABLE_H

#include "../types.h"

/* Pointer to the structure of type TYPE that embeds POINTER as MEMBER.  */
#define GATE_ENTRY(pointer, type, member)                                     \
  ((type *)(void *)((char *)(pointer)-offsetof (type, member)))

struct gate_link
{
  struct gate_link *next;
  uint64_t hash;
};

/* Chained hash map.  It doubles when full and never shrinks.  */
struct gate_map
{
  TALLOC_CTX *owner;
  struct gate_link **buckets;
  size_t bucket_count;
  size_t count;
};

typedef bool gate_map_equal (const struct gate_link *link, const void *key);

void mq_gate_map_create (struct gate_map *map, TALLOC_CTX *owner);
struct gate_link *mq_gate_map_find (const struct gate_map *map, uint64_t hash,
                                    gate_map_equal *same, const void *key);
void mq_gate_map_add (struct gate_map *map, struct gate_link *link,
                      uint64_t hash);
void mq_gate_map_remove (struct gate_map *map, struct gate_link *link);

typedef bool gate_heap_before (const void *a, const void *b);

/**
 * struct gate_heap - binary min-heap of pointers
 * @before: ordering function
 * @offset: offset in each item of a size_t with the item's position in the
 *          heap, counted from 1; 0 if the item is not in the heap
 */
struct gate_heap
{
  TALLOC_CTX *owner;
  void **items;
  size_t count;
  size_t capacity;
  gate_heap_before *before;
  size_t offset;
};

void mq_gate_heap_create (struct gate_heap *heap, TALLOC_CTX *owner,
                          gate_heap_before *before, size_t offset);
void *mq_gate_heap_first (const struct gate_heap *heap); /* NULL if empty */
void mq_gate_heap_add (struct gate_heap *heap, void *item);
/* Does nothing if ITEM is not in HEAP.  */
void mq_gate_heap_remove (struct gate_heap *heap, void *item);
/* Restores the heap order after a change of ITEM's key.  */
void mq_gate_heap_update (struct gate_heap *heap, void *item);

struct gate_node
{
  struct gate_node *prev;
  struct gate_node *next;
};

struct gate_list
{
  struct gate_node *first;
  struct gate_node *last;
  size_t count;
};

void mq_gate_list_add (struct gate_list *list, struct gate_node *node);
void mq_gate_list_remove (struct gate_list *list, struct gate_node *node);

#endif
