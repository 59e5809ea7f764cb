package peer

import (
	"lovagestream/core"
	"lovagestream/core/marks"
	"lovagestream/io/peer/wire"
)

func encodeCrashReport(msg core.CrashReport, env *wire.Envelope) {
	bod := &wire.CrashMarks{Server: msg.Server(), AgeMillis: msg.Age().Milliseconds(), MuteMillis: msg.Silence().Milliseconds()}
	for _, fpr := range msg.Fingerprints() {
		bod.Prints = append(bod.Prints, uint64(fpr))
	}
	for _, fpr := range msg.Answered() {
		bod.Answered = append(bod.Answered, uint64(fpr))
	}
	env.Body = &wire.Envelope_CrashMarks{CrashMarks: bod}
}

func decodeCrashReport(env *wire.Envelope) (core.CrashReport, error) {
	bod := env.GetCrashMarks()
	if len(bod.GetServer()) > maxNameLen || len(bod.GetPrints()) > marks.MaxBatch || len(bod.GetAnswered()) > marks.MaxBatch {
		return core.CrashReport{}, messageErrorf(env, "%d fingerprints, a server's identity of %d bytes", len(bod.GetPrints()), len(bod.GetServer()))
	}
	if len(bod.GetAnswered()) > 0 {
		return core.NewCrashWithdrawal(millis(bod.GetAgeMillis()), toFingerprints(bod.GetAnswered())), nil
	}
	return core.NewCrashReport(bod.GetServer(), millis(bod.GetAgeMillis()), millis(bod.GetMuteMillis()), toFingerprints(bod.GetPrints())), nil
}

func toFingerprints(list []uint64) []marks.Fingerprint {
	var fprs []marks.Fingerprint
	for _, num := range list {
		fprs = append(fprs, marks.Fingerprint(num))
	}
	return fprs
}
