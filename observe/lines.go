package observe

import "strconv"

// mostBatch bounds one write, in bytes.
const mostBatch = 64 << 10

// more adds the lines that wait already, so that a busy host makes few writes.
func (w *lineWriter) more(batch []byte) []byte {
	for len(batch) < mostBatch {
		select {
		case line := <-w.lines:
			if line == nil {
				w.lines <- nil // the end: for run to see
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

func droppedLine(n int64) string {
	return `{"level":"warn","msg":"log lines dropped","count":` + strconv.FormatInt(n, 10) + "}\n"
}

// close ends the writer after what waits.
func (w *lineWriter) close() {
	if w.closed.Swap(true) {
		return
	}
	w.lines <- nil
	<-w.done
}
