package gateway

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/goldcrestspan/goldcrestspan/home"
	"github.com/goldcrestspan/goldcrestspan/scatter"
)

// mostMissing bounds the missing shards in one log line.
const mostMissing = 4

// missingList writes the shards that an answer lacks, and why.
type missingList []scatter.MissingShard

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l missingList) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, m := range l[:min(len(l), mostMissing)] {
		if err := enc.AppendObject(missingShard(m)); err != nil {
			return err
		}
	}
	return nil
}

type missingShard scatter.MissingShard

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (m missingShard) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("service", m.Service)
	enc.AddString("code", m.Code.String())
	enc.AddString("detail", m.Detail)
	return nil
}

// logServer writes a line about what a home believes of a backend server.
func (g *Gateway) logServer(service string, change home.ServerChange) {
	fields := []zap.Field{
		zap.String("server", change.Server), zap.String("service", service), zap.Stringer("state", change.State),
		zap.Int("faults", change.Faults), zap.Int("refusals", change.Refusals), zap.Int("running", change.Running),
	}
	if !change.Until.IsZero() {
		fields = append(fields, zap.Duration("idle_for", change.Until.Sub(g.options.Now())))
	}
	g.log.Info("backend server changed state", fields...)
}
