package sched

import "container/heap"

// indexed is an element that stores its position in a priorityQueue.
type indexed interface {
	comparable
	position() *int
}

// priorityQueue is a binary heap whose elements can be moved and removed in place. It is used through container/heap.
type priorityQueue[T indexed] struct {
	elements []T
	less     func(a, b T) bool
}

func (q *priorityQueue[T]) Len() int           { return len(q.elements) }
func (q *priorityQueue[T]) Less(i, j int) bool { return q.less(q.elements[i], q.elements[j]) }

func (q *priorityQueue[T]) Swap(i, j int) {
	q.elements[i], q.elements[j] = q.elements[j], q.elements[i]
	*q.elements[i].position() = i
	*q.elements[j].position() = j
}

// Push implements heap.Interface; callers use add.
func (q *priorityQueue[T]) Push(x any) {
	e := x.(T)
	*e.position() = len(q.elements)
	q.elements = append(q.elements, e)
}

// Pop implements heap.Interface; callers use remove.
func (q *priorityQueue[T]) Pop() any {
	var zero T
	last := len(q.elements) - 1
	e := q.elements[last]
	q.elements[last] = zero
	q.elements = q.elements[:last]
	*e.position() = noPosition
	return e
}

// noPosition marks an element that is in no queue.
const noPosition = -1

func (q *priorityQueue[T]) add(e T) { heap.Push(q, e) }

func (q *priorityQueue[T]) remove(e T) {
	if i := *e.position(); i != noPosition {
		heap.Remove(q, i)
	}
}

func (q *priorityQueue[T]) fix(e T) {
	if i := *e.position(); i != noPosition {
		heap.Fix(q, i)
	}
}

// first returns the least element, or the zero value if the queue is empty.
func (q *priorityQueue[T]) first() T {
	var zero T
	if len(q.elements) == 0 {
		return zero
	}
	return q.elements[0]
}
